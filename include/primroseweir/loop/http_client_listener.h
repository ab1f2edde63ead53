#ifndef PRIMROSEWEIR_LOOP_HTTP_CLIENT_LISTENER_H_
#define PRIMROSEWEIR_LOOP_HTTP_CLIENT_LISTENER_H_

#include <string>

namespace primroseweir {

struct ResponseHead;

// Receives the answer to the request of an HttpClientStream. Each function may destroy the stream.
class HttpClientListener {
 public:
  // How a request ended without a whole answer.
  enum class Failure {
    // No connection could be opened: no byte of the request was sent.
    kConnect,
    // The connection was reset or broke.
    kReset,
    // The server closed the connection in the middle.
    kClosed,
    // The bytes received are no proper answer.
    kMalformed,
    // The bytes received exceed a bound: they may never end.
    kOversized,
  };
  // Its name in logs.
  static const char* NameOf(Failure failure);

  virtual ~HttpClientListener() = default;

  // The request left this process, or its head and the first part of its body did.
  virtual void OnSent() {}
  // The server took what was sent of the request so far.
  virtual void OnWriteDrained() {}
  // A further piece of the answer; `whole` with the last one. Answers up to
  // HttpClientStream::kMaxBufferedBytes come in one piece.
  virtual void OnResponse(ResponseHead* head, std::string piece, bool is_complete) = 0;
  virtual void OnFailure(Failure failure) = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_HTTP_CLIENT_LISTENER_H_
