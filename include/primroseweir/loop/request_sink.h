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

  // A whole request arrived. The sink answers through `stream`, at once or later. `head` is valid
  // until then.
  virtual void OnRequest(HttpServerStream* stream, RequestHead* head, std::string body) = 0;
  // The caller closed its connection before the answer was complete; `stream` is invalid
  // afterwards.
  virtual void OnCallerGone(HttpServerStream* stream) {}
  // The caller took the bytes of a streamed answer.
  virtual void OnCallerReady(HttpServerStream* stream) {}
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_REQUEST_SINK_H_
