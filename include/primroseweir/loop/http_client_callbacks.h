#ifndef PRIMROSEWEIR_LOOP_HTTP_CLIENT_CALLBACKS_H_
#define PRIMROSEWEIR_LOOP_HTTP_CLIENT_CALLBACKS_H_

#include <string>

namespace primroseweir {

struct ResponseHead;

// Receives the response to a request of an HttpClientStream. Each function may destroy the stream.
class HttpClientCallbacks {
 public:
  // Why a request ended without a complete response.
  enum class Failure {
    // No connection could be opened; no byte of the request was sent.
    kConnect,
    // The connection was reset or failed.
    kReset,
    // The server closed the connection before the response was complete.
    kClosed,
    // The received bytes are not a valid HTTP response.
    kMalformed,
    // The received bytes exceed a limit; such input may never end.
    kOversized,
    // The only response that arrived in time does not show to which request it belongs.
    kUnidentified,
  };
  // Returns the name of `failure` in logs.
  static const char* NameOf(Failure failure);

  virtual ~HttpClientCallbacks() = default;

  // Called when the request, or its head and the first part of its body, was written to the open
  // connection.
  virtual void OnSent() {}
  // Called when the queued bytes of the request have left this process.
  virtual void OnWriteDrained() {}
  // Called when an error response without the echo field was discarded, which may have been the
  // response to this request. Must not destroy the stream.
  virtual void OnUnidentifiedError() {}
  // Called with each piece of the response; `is_complete` is true for the last one. Responses of up
  // to HttpClientStream::kMaxBufferedBytes come in one piece.
  virtual void OnResponse(ResponseHead* head, std::string piece, bool is_complete) = 0;
  virtual void OnFailure(Failure failure) = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_HTTP_CLIENT_CALLBACKS_H_
