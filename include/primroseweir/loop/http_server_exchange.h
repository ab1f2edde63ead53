#ifndef PRIMROSEWEIR_LOOP_HTTP_SERVER_EXCHANGE_H_
#define PRIMROSEWEIR_LOOP_HTTP_SERVER_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "primroseweir/http/response_head.h"

namespace primroseweir {

// One request of a caller, through which the sink responds. Several requests of one connection may
// be in progress; their responses are sent in the order of the requests.
class HttpServerExchange {
 public:
  virtual ~HttpServerExchange() = default;

  // Returns the IPv4 address of the caller as a number; 0 if it is not known.
  virtual std::uint32_t caller_address() { return 0; }

  // ---- response ----

  // Sends a complete response.
  virtual void Respond(ResponseHead head, const std::string& body) = 0;
  // Sends a response in pieces: BeginResponse, any number of WritePiece, EndResponse. A body of
  // unknown length is sent chunked, or up to the end of the connection to HTTP/1.0 callers.
  virtual void BeginResponse(ResponseHead head) = 0;
  virtual void WritePiece(const std::string& piece) = 0;
  virtual void EndResponse() = 0;
  // Breaks off a response that has begun, so that the caller cannot take it for complete.
  virtual void Abort() = 0;
  // Returns how many bytes of the response have not left this process yet.
  virtual std::size_t pending_bytes() const = 0;
  // Returns how many bytes of the response the caller has not acknowledged yet.
  virtual std::size_t unacked_bytes() const = 0;
  // Whether the responses to all earlier requests of the connection are complete.
  virtual bool has_turn() const { return true; }

  // ---- streamed body ----

  // Whether more of the request's body follows. A response sent meanwhile ends the connection,
  // since the rest of the body would come before the next request.
  virtual bool is_receiving_body() const = 0;
  // Holds back the rest of the body until ResumeBody.
  virtual void PauseBody() = 0;
  virtual void ResumeBody() = 0;
  // Sets how many bytes of the body the sink holds; they count towards the port's memory limit.
  virtual void SetSinkBufferedBytes(std::size_t bytes) = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_HTTP_SERVER_EXCHANGE_H_
