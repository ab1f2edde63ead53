#ifndef PRIMROSEWEIR_LOOP_REQUEST_SINK_H_
#define PRIMROSEWEIR_LOOP_REQUEST_SINK_H_

#include <string>

namespace primroseweir {

class HttpServerStream;
struct RequestHead;

// Takes the requests of an HttpPort.
class RequestSink {
 public:
  virtual ~RequestSink() = default;

  // Whether a large body of that request is taken in pieces, so that it need not be held as a
  // whole.
  virtual bool ShouldStreamBody(const RequestHead& /*head*/) { return false; }
  // A request arrived: as a whole, or, when the sink streams its body and stream->receiving() says
  // that more of it follows, its first part. The sink answers through `stream`, at once or later.
  // `head` is valid until then.
  virtual void OnRequest(HttpServerStream* stream, RequestHead* head, std::string body) = 0;
  // A further piece of a streamed body; `last` with its end.
  virtual void OnBodyPiece(HttpServerStream* /*stream*/, const std::string& /*piece*/,
                           bool /*last*/) {}
  // A streamed body will not end properly: it stalled, broke its framing or exceeds the limits. The
  // sink answers; `status` is the answer to a request that did not go anywhere.
  virtual void OnBodyError(HttpServerStream* /*stream*/, int /*status*/) {}
  // The caller closed its connection before the answer was complete; `stream` is invalid
  // afterwards.
  virtual void OnCallerDisconnected(HttpServerStream* stream) {}
  // The caller took the bytes of a streamed answer.
  virtual void OnCallerWritable(HttpServerStream* stream) {}
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_REQUEST_SINK_H_
