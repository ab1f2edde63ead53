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

// A server on the test's own event loop that answers each request with the bytes that a script
// returns, whether they are a proper answer or not.
class LoopServer {
 public:
  enum class Then { kKeep, kClose, kReset };
  struct Reply {
    // Nothing is sent when empty.
    std::string bytes;
    Then then = Then::kKeep;
    Duration delay{};
  };
  struct Request {
    RequestHead head;
    std::string body;
  };
  using Script = std::function<Reply(const Request&)>;

  // `early` is asked once the head of a request with a longer body has arrived; an empty reply
  // means that the body is read first.
  LoopServer(EventLoop* loop, Script script, Script early = nullptr)
      : loop_(loop), script_(std::move(script)), early_(std::move(early)), listener_(loop) {
    const auto status =
        listener_.Listen(RandomLoopback(), [this](std::unique_ptr<TcpStream> stream) {
          connections_.push_back(std::make_unique<Connection>(this, std::move(stream)));
        });
    if (!status.ok()) {
      throw std::runtime_error("listen failed");
    }
  }

  SocketAddress address() const { return listener_.address(); }
  const std::vector<Request>& requests() const { return requests_; }
  std::size_t accepted() const { return connections_.size(); }
  // Bytes of bodies that arrived, of requests that are not whole too.
  std::size_t body_bytes() const { return body_bytes_; }
  // Heads that arrived.
  std::size_t heads() const { return heads_; }
  // Connections take no bytes after the head from now on.
  void HoldBodies() { holds_bodies_ = true; }
  // Connections that the peer closed or reset.
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
        const auto used = parser_.Feed(input.data(), input.size(), &body_);
        if (!used.ok()) {
          return;
        }
        input.erase(0, *used);
        server_->body_bytes_ += body_.size() - std::exchange(open_count_, body_.size());
        if (parser_.head_complete() && !std::exchange(head_seen_, true)) {
          OnHead();
        }
        if (parser_.message_complete()) {
          open_count_ = 0;
          head_seen_ = false;
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
      ++server_->heads_;
      if (server_->holds_bodies_) {
        stream_->PauseReading();
      }
      if (server_->early_ != nullptr && !parser_.message_complete()) {
        reply_ = server_->early_({*parser_.request(), body_});
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
    std::size_t open_count_ = 0;
    bool head_seen_ = false;
    Reply reply_;
    std::unique_ptr<TcpStream> stream_;
    Timer timer_;
  };

  EventLoop* const loop_;
  const Script script_;
  const Script early_;
  TcpListener listener_;
  std::size_t body_bytes_ = 0;
  std::size_t heads_ = 0;
  bool holds_bodies_ = false;
  std::vector<Request> requests_;
  std::vector<std::unique_ptr<Connection>> connections_;
  int ended_ = 0;
};

// Runs the loop until `done` or the time is over; answers whether it was done.
inline bool RunUntil(EventLoop* loop, const std::function<bool()>& done,
                     Duration time = std::chrono::seconds(5)) {
  const auto end = MonotonicNow() + time;
  Timer wake(loop, [] {});
  wake.Repeat(std::chrono::milliseconds(2));
  while (!done() && MonotonicNow() < end) {
    uv_run(loop->uv(), UV_RUN_ONCE);
  }
  return done();
}

// A connection to a server on the test's event loop that records all it receives.
class LoopCaller : public StreamHandler {
 public:
  LoopCaller(EventLoop* loop, const SocketAddress& address)
      : stream_(TcpStream::Connect(loop, address, this)) {}

  void Send(const std::string& bytes) {
    if (connected_) {
      stream_->Write(bytes);
    } else {
      unsent_ += bytes;
    }
  }
  void Close() { stream_.reset(); }
  void PauseReading() { stream_->PauseReading(); }
  void ResumeReading() { stream_->ResumeReading(); }

  const std::string& received() const { return received_; }
  bool ended() const { return ended_; }
  bool clean() const { return clean_; }
  // Status of the first answer; 0 before it.
  int status() const { return received_.size() < 12 ? 0 : std::atoi(received_.c_str() + 9); }

  void OnConnected() override {
    connected_ = true;
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
  bool connected_ = false;
  bool ended_ = false;
  bool clean_ = false;
  std::unique_ptr<TcpStream> stream_;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_SUPPORT_LOOP_SERVER_H_
