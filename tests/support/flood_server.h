#ifndef PRIMROSEWEIR_TESTS_SUPPORT_FLOOD_SERVER_H_
#define PRIMROSEWEIR_TESTS_SUPPORT_FLOOD_SERVER_H_

#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/loop_server.h"

namespace primroseweir::testing {

// Responds to the first bytes of each connection with `first_bytes` and then sends `chunk` every
// `interval` until the peer closes, as a faulty server with an endless response does.
class FloodServer {
 public:
  FloodServer(EventLoop* loop, std::string first_bytes, std::string chunk,
              Duration interval = std::chrono::milliseconds(1))
      : loop_(loop),
        first_bytes_(std::move(first_bytes)),
        chunk_(std::move(chunk)),
        interval_(interval),
        listener_(loop) {
    const auto status =
        listener_.Listen(RandomLoopback(), [this](std::unique_ptr<TcpStream> stream) {
          connections_.push_back(std::make_unique<Connection>(this, std::move(stream)));
        });
    if (!status.ok()) {
      throw std::runtime_error("FloodServer can't listen on a loopback address");
    }
  }

  SocketAddress address() const { return listener_.address(); }
  // Bytes written to all connections.
  std::size_t sent() const { return sent_bytes_; }
  // Number of connections that the peer closed or that failed.
  int ended() const { return ended_connections_; }

 private:
  class Connection : public StreamHandler {
   public:
    Connection(FloodServer* server, std::unique_ptr<TcpStream> stream)
        : server_(server), stream_(std::move(stream)), timer_(server->loop_, [this] { Send(); }) {
      stream_->Accept(this);
    }

    void OnData(const char* /*data*/, std::size_t /*size*/) override {
      if (!std::exchange(is_started_, true)) {
        stream_->Write(server_->first_bytes_);
        server_->sent_bytes_ += server_->first_bytes_.size();
        timer_.Start(server_->interval_);
      }
    }
    void OnEnd(bool /*clean*/) override {
      has_ended_ = true;
      ++server_->ended_connections_;
    }

   private:
    void Send() {
      // Nothing is written while earlier bytes are pending, so that this server's own write queue
      // does not grow.
      if (!has_ended_ && stream_->pending_bytes() == 0) {
        stream_->Write(server_->chunk_);
        server_->sent_bytes_ += server_->chunk_.size();
      }
      if (!has_ended_) {
        timer_.Start(server_->interval_);
      }
    }

    FloodServer* const server_;
    std::unique_ptr<TcpStream> stream_;
    Timer timer_;
    bool is_started_ = false;
    bool has_ended_ = false;
  };

  EventLoop* const loop_;
  const std::string first_bytes_;
  const std::string chunk_;
  const Duration interval_;
  TcpListener listener_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::size_t sent_bytes_ = 0;
  int ended_connections_ = 0;
};

// Returns the resident memory of this process in bytes, assuming pages of 4096 bytes.
inline std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  file >> size >> resident;
  return resident * 4096;
}

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_SUPPORT_FLOOD_SERVER_H_
