#ifndef PRIMROSEWEIR_TESTS_SUPPORT_FLOOD_SERVER_H_
#define PRIMROSEWEIR_TESTS_SUPPORT_FLOOD_SERVER_H_

#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/loop_server.h"

namespace primroseweir::testing {

// A server that answers the first bytes of each connection with `first` and then sends `piece`
// again and again until the peer closes, as servers in trouble do.
class FloodServer {
 public:
  FloodServer(EventLoop* loop, std::string first, std::string piece,
              Duration pause = std::chrono::milliseconds(1))
      : loop_(loop),
        first_(std::move(first)),
        piece_(std::move(piece)),
        pause_(pause),
        listener_(loop) {
    const auto status =
        listener_.Listen(RandomLoopback(), [this](std::unique_ptr<TcpStream> stream) {
          connections_.push_back(std::make_unique<Connection>(this, std::move(stream)));
        });
    if (!status.ok()) {
      throw std::runtime_error("listen failed");
    }
  }

  SocketAddress address() const { return listener_.address(); }
  std::size_t sent() const { return sent_; }
  int ended() const { return ended_; }

 private:
  class Connection : public StreamHandler {
   public:
    Connection(FloodServer* server, std::unique_ptr<TcpStream> stream)
        : server_(server), stream_(std::move(stream)), timer_(server->loop_, [this] { Send(); }) {
      stream_->Accept(this);
    }

    void OnData(const char* /*data*/, std::size_t /*size*/) override {
      if (!std::exchange(began_, true)) {
        stream_->Write(server_->first_);
        server_->sent_ += server_->first_.size();
        timer_.Start(server_->pause_);
      }
    }
    void OnEnd(bool /*clean*/) override {
      over_ = true;
      ++server_->ended_;
    }

   private:
    void Send() {
      // What the peer does not take is not sent, or the queue here would grow instead.
      if (!over_ && stream_->pending_bytes() == 0) {
        stream_->Write(server_->piece_);
        server_->sent_ += server_->piece_.size();
      }
      if (!over_) {
        timer_.Start(server_->pause_);
      }
    }

    FloodServer* const server_;
    std::unique_ptr<TcpStream> stream_;
    Timer timer_;
    bool began_ = false;
    bool over_ = false;
  };

  EventLoop* const loop_;
  const std::string first_;
  const std::string piece_;
  const Duration pause_;
  TcpListener listener_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::size_t sent_ = 0;
  int ended_ = 0;
};

// Resident memory of this process in bytes.
inline std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  file >> size >> resident;
  return resident * 4096;
}

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_SUPPORT_FLOOD_SERVER_H_
