#ifndef PRIMROSEWEIR_TESTS_SUPPORT_LOOP_SERVER_H_
#define PRIMROSEWEIR_TESTS_SUPPORT_LOOP_SERVER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/http/message_parser.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/stream_handler.h"
#include "primroseweir/loop/tcp_listener.h"
#include "primroseweir/loop/tcp_stream.h"
#include "primroseweir/loop/timer.h"
#include "support/loopback.h"

namespace primroseweir::testing {

// A server on the test's event loop that responds to each request with the bytes that a script
// returns. The bytes need not form a valid HTTP response.
class LoopServer {
 public:
  // What happens to the connection after the reply bytes.
  enum class Then { kKeep, kClose, kReset };
  struct Reply {
    // Bytes to send, possibly none.
    std::string bytes;
    Then then = Then::kKeep;
    Duration delay{};
  };
  struct Request {
    RequestHead head;
    std::string body;
  };
  using Script = std::function<Reply(const Request&)>;

  // `head_script`, if set, is called when the head of a request has arrived and its body is not yet
  // complete. Its reply is sent at once, without its delay. An empty reply with Then::kKeep sends
  // nothing before the body is complete.
  LoopServer(EventLoop* loop, Script script, Script head_script = nullptr)
      : loop_(loop),
        script_(std::move(script)),
        head_script_(std::move(head_script)),
        listener_(loop) {
    const auto status =
        listener_.Listen(RandomLoopback(), [this](std::unique_ptr<TcpStream> stream) {
          connections_.push_back(std::make_unique<Connection>(this, std::move(stream)));
        });
    if (!status.ok()) {
      throw std::runtime_error("LoopServer can't listen on a loopback address");
    }
  }

  SocketAddress address() const { return listener_.address(); }
  const std::vector<Request>& requests() const { return requests_; }
  std::size_t accepted() const { return connections_.size(); }
  // Body bytes received, including those of incomplete requests.
  std::size_t body_bytes() const { return body_bytes_; }
  // Number of request heads received.
  std::size_t heads() const { return received_heads_; }
  // From now on, connections stop reading once they have received a request head.
  void HoldBodies() { pauses_after_head_ = true; }
  // Number of connections that the peer closed or reset.
  int ended() const { return ended_; }

 private:
  class Connection : public StreamHandler {
   public:
    Connection(LoopServer* server, std::unique_ptr<TcpStream> stream)
        : server_(server),
          parser_(MessageParser::Kind::kRequest),
          stream_(std::move(stream)),
          timer_(server->loop_, [this] { Send(); }) {
      stream_->Accept(this);
    }

    void OnData(const char* data, std::size_t size) override {
      std::string input(data, size);
      while (!input.empty()) {
        const auto consumed = parser_.Feed(input.data(), input.size(), &body_);
        if (!consumed.ok()) {
          return;
        }
        input.erase(0, *consumed);
        server_->body_bytes_ += body_.size() - std::exchange(counted_body_bytes_, body_.size());
        if (parser_.is_head_complete() && !std::exchange(head_handled_, true)) {
          OnHead();
        }
        if (parser_.is_message_complete()) {
          counted_body_bytes_ = 0;
          head_handled_ = false;
          server_->requests_.push_back({*parser_.request(), std::exchange(body_, std::string())});
          parser_.Reset();
          reply_ = server_->script_(server_->requests_.back());
          if (reply_.delay > Duration::zero()) {
            timer_.Start(reply_.delay);
          } else {
            Send();
          }
        }
      }
    }

    void OnEnd(bool /*clean*/) override { ++server_->ended_; }

   private:
    void OnHead() {
      ++server_->received_heads_;
      if (server_->pauses_after_head_) {
        stream_->PauseReading();
      }
      if (server_->head_script_ != nullptr && !parser_.is_message_complete()) {
        reply_ = server_->head_script_({*parser_.request(), body_});
        Send();
      }
    }

    void Send() {
      if (stream_ == nullptr) {
        return;
      }
      stream_->Write(reply_.bytes);
      if (reply_.then == Then::kReset) {
        stream_->Reset();
      }
      if (reply_.then != Then::kKeep) {
        stream_.reset();
      }
    }

    LoopServer* const server_;
    MessageParser parser_;
    std::string body_;
    std::size_t counted_body_bytes_ = 0;
    bool head_handled_ = false;
    Reply reply_;
    std::unique_ptr<TcpStream> stream_;
    Timer timer_;
  };

  EventLoop* const loop_;
  const Script script_;
  const Script head_script_;
  TcpListener listener_;
  std::size_t body_bytes_ = 0;
  std::size_t received_heads_ = 0;
  bool pauses_after_head_ = false;
  std::vector<Request> requests_;
  std::vector<std::unique_ptr<Connection>> connections_;
  int ended_ = 0;
};

// Runs the loop until `done` returns true or `timeout` has passed. Returns the last result of
// `done`.
inline bool RunUntil(EventLoop* loop, const std::function<bool()>& done,
                     Duration timeout = std::chrono::seconds(5)) {
  const auto deadline = MonotonicNow() + timeout;
  Timer wake_timer(loop, [] {});
  wake_timer.Repeat(std::chrono::milliseconds(2));
  while (!done() && MonotonicNow() < deadline) {
    uv_run(loop->uv(), UV_RUN_ONCE);
  }
  return done();
}

// A client connection on the test's event loop that records all received bytes.
class LoopCaller : public StreamHandler {
 public:
  LoopCaller(EventLoop* loop, const SocketAddress& address)
      : stream_(TcpStream::Connect(loop, address, this)) {}

  // Writes `bytes`, or queues them until the connection is open.
  void Send(const std::string& bytes) {
    if (is_connected_) {
      stream_->Write(bytes);
    } else {
      unsent_ += bytes;
    }
  }
  void Close() { stream_.reset(); }
  void PauseReading() { stream_->PauseReading(); }
  void ResumeReading() { stream_->ResumeReading(); }

  const std::string& received() const { return received_; }
  // Whether the connection has ended, and whether it ended with an orderly close by the peer.
  bool ended() const { return ended_; }
  bool clean() const { return clean_; }
  // Status code of the first response; 0 before its status line has arrived.
  int status() const { return received_.size() < 12 ? 0 : std::atoi(received_.c_str() + 9); }

  void OnConnected() override {
    is_connected_ = true;
    stream_->Write(unsent_);
  }
  void OnData(const char* data, std::size_t size) override { received_.append(data, size); }
  void OnEnd(bool clean) override {
    ended_ = true;
    clean_ = clean;
  }

 private:
  std::string unsent_;
  std::string received_;
  bool is_connected_ = false;
  bool ended_ = false;
  bool clean_ = false;
  std::unique_ptr<TcpStream> stream_;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_SUPPORT_LOOP_SERVER_H_
