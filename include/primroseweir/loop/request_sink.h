#ifndef PRIMROSEWEIR_LOOP_REQUEST_SINK_H_
#define PRIMROSEWEIR_LOOP_REQUEST_SINK_H_

#include <cstddef>
#include <string>

namespace primroseweir {

class HttpServerExchange;
struct RequestHead;

// Receives the requests of an HttpPort.
class RequestSink {
 public:
  virtual ~RequestSink() = default;

  // Whether the sink takes a large body of this request in pieces, so that it need not be held
  // until it is complete.
  virtual bool ShouldStreamBody(const RequestHead& /*head*/) { return false; }
  // Returns the size up to which such a body is held until it is complete, so that a caller that
  // stalls while sending it occupies no upstream.
  virtual std::size_t MaxHeldBodyBytes(const RequestHead& /*head*/) {
    return std::size_t{64} * 1024;
  }
  // Whether the sink rejects this request by its head alone. The request is then delivered without
  // the rest of its body, and the response ends the connection.
  virtual bool WillReject(const RequestHead& /*head*/) { return false; }
  // Whether a complete request without a body may be delivered while earlier ones on its connection
  // are in progress.
  virtual bool MayServeAhead(const RequestHead& /*head*/) { return false; }
  // Called with a complete request or, if the sink streams its body and stream->receiving() is
  // true, with the head and the first part of the body. The sink responds through `stream`, at once
  // or later; `head` is valid until then.
  virtual void OnRequest(HttpServerExchange* stream, RequestHead* head, std::string body) = 0;
  // Called with each further piece of a streamed body; `last` is true for the final one.
  virtual void OnBodyPiece(HttpServerExchange* /*stream*/, const std::string& /*piece*/,
                           bool /*last*/) {}
  // Called when a streamed body stalled, violated its framing or exceeded the limits. The sink must
  // respond; `status` is the response status for a request that was not forwarded anywhere.
  virtual void OnBodyError(HttpServerExchange* /*stream*/, int /*status*/) {}
  // Called when the caller's connection ended before the response was complete. `stream` is invalid
  // afterwards.
  virtual void OnCallerDisconnected(HttpServerExchange* stream) {}
  // Called when the queued bytes of a streamed response have left this process.
  virtual void OnCallerWritable(HttpServerExchange* stream) {}
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_REQUEST_SINK_H_
