#ifndef PRIMROSEWEIR_LOOP_HTTP_CLIENT_STREAM_H_
#define PRIMROSEWEIR_LOOP_HTTP_CLIENT_STREAM_H_

#include <cstddef>
#include <memory>
#include <string>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/http/message_parser.h"
#include "primroseweir/loop/http_client_listener.h"
#include "primroseweir/loop/stream_handler.h"

namespace primroseweir {

class EventLoop;
class TcpStream;
struct RequestHead;

// A connection to an HTTP server on an event loop: one request at a time, then its answer. Used
// towards upstreams, the platform and other instances.
//
// With an echo field, an answer that echoes another value belongs to another request (a server may
// send an extra or late answer): it is dropped, and the wait goes on. What never ends is cut off at
// the bounds below.
class HttpClientStream : public StreamHandler {
 public:
  // A field of the request that the server repeats in its answer; empty for none. An empty value
  // says that the request lacks the field: no answer that carries it belongs to this request.
  struct Echo {
    std::string field;
    std::string value;
  };

  // Starts to connect.
  HttpClientStream(EventLoop* loop, const SocketAddress& address);
  ~HttpClientStream() override;

  // Sends a request, now or as soon as the connection is open. `listener` outlives the request.
  // When `head` announces a longer body than `body`, or one in chunks, the rest follows by
  // SendPiece.
  void Send(const RequestHead& head, const std::string& body, Echo echo,
            HttpClientListener* listener);
  // Sends a further piece of the body; `last` with its end. Without effect once the answer ended.
  void SendPiece(const std::string& piece, bool last);
  // Bytes of the request that the server has not taken yet.
  std::size_t pending_bytes() const;
  // Forgets the listener; the connection can't be used afterwards.
  void Abandon();

  // Holds back the rest of a large answer.
  void PauseReading();
  void ResumeReading();

  // Whether the answer was whole and the connection may carry a further request.
  bool is_reusable() const { return is_reusable_; }
  bool is_connected() const { return is_connected_; }
  // Whether the connection ended or received bytes while idle.
  bool is_broken() const { return is_broken_; }
  // When the last answer ended.
  Instant idle_since() const { return idle_since_; }
  // Time for which the server keeps an idle connection; zero when it did not say.
  Duration keep_alive_timeout() const { return keep_alive_timeout_; }
  const SocketAddress& address() const { return address_; }
  // When bytes last arrived; zero for never.
  Instant last_received_at() const { return last_received_at_; }

  void OnConnected() override;
  void OnData(const char* data, std::size_t size) override;
  void OnEnd(bool clean) override;
  void OnDrained() override;

  // Interim answers to one request; servers send one or two.
  static constexpr int kMaxInterim = 16;
  // Bytes of answers to other requests that are dropped while one waits for its own.
  static constexpr std::size_t kMaxStrayBytes = std::size_t{2} * 1024 * 1024;
  // Longer answers are handed over in pieces; shorter ones can be fetched again when they break.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{768} * 1024;

 private:
  bool Consume();
  // Drops the `used` bytes that came of an answer to another request; false when that was too much.
  bool DiscardStrayResponse(std::size_t used);
  bool IsExpectedResponse();
  void Write(std::string bytes);
  void Complete();
  void Fail(HttpClientListener::Failure failure);

  const SocketAddress address_;
  std::unique_ptr<TcpStream> stream_;
  MessageParser parser_;
  std::string input_;
  std::string body_;
  std::string unsent_;
  Echo echo_;
  HttpClientListener* listener_ = nullptr;
  bool bodiless_ = false;
  // More of the request's body follows.
  bool sending_ = false;
  bool chunked_ = false;
  int interim_ = 0;
  std::size_t stray_bytes_ = 0;
  bool is_connected_ = false;
  bool is_reusable_ = false;
  bool is_broken_ = false;
  // An answer of another request was dropped: the next one may be out of step too.
  bool may_be_out_of_step_ = false;
  Instant idle_since_;
  Instant last_received_at_;
  Duration keep_alive_timeout_{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_HTTP_CLIENT_STREAM_H_
