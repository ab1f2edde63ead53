#include "primroseweir/gateway/stop_detector.h"

#include <algorithm>
#include <set>
#include <utility>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/loop/stream_handler.h"
#include "primroseweir/loop/tcp_stream.h"

namespace primroseweir {

class StopDetector::Connection : public StreamHandler {
 public:
  Connection(EventLoop* loop, const SocketAddress& address, Instant now)
      : started_at_(now), stream_(TcpStream::Connect(loop, address, this)) {}

  void OnConnected() override { Close(); }
  void OnData(const char* /*data*/, std::size_t /*size*/) override {}
  void OnEnd(bool /*clean*/) override { Close(); }
  void OnRefused() override {
    is_refused_ = true;
    Close();
  }

  bool is_refused() const { return is_refused_; }
  bool IsOver(Instant now) const { return stream_ == nullptr || now - started_at_ > kTimeout; }

 private:
  void Close() { stream_.reset(); }

  const Instant started_at_;
  std::unique_ptr<TcpStream> stream_;
  bool is_refused_ = false;
};

StopDetector::StopDetector(EventLoop* loop, std::uint16_t port,
                           std::function<void(const std::string& ip)> on_stopped)
    : loop_(loop), port_(port), on_stopped_(std::move(on_stopped)) {}

StopDetector::~StopDetector() = default;

void StopDetector::Probe(const std::vector<std::string>& silent, Instant now) {
  const std::set<std::string> wanted(silent.begin(), silent.end());
  std::vector<std::string> stopped;
  std::size_t probes = 0;
  for (auto it = peers_.begin(); it != peers_.end();) {
    auto& peer = it->second;
    const bool is_wanted = wanted.count(it->first) > 0;
    if (is_wanted && peer.connection != nullptr && peer.connection->is_refused()) {
      stopped.push_back(it->first);
    }
    if (!is_wanted) {
      it = peers_.erase(it);
      continue;
    }
    if (peer.connection != nullptr && peer.connection->IsOver(now)) {
      peer.connection.reset();
    }
    probes += peer.connection != nullptr ? 1 : 0;
    ++it;
  }
  for (const auto& ip : wanted) {
    auto& peer = peers_[ip];
    if (probes < kMaxProbes && peer.connection == nullptr && now >= peer.next_at) {
      peer.connection = std::make_unique<Connection>(loop_, SocketAddress{ip, port_}, now);
      peer.next_at = now + peer.interval;
      peer.interval = std::min<Duration>(peer.interval * 2, kMaxInterval);
      ++probes;
    }
  }
  for (const auto& ip : stopped) {
    on_stopped_(ip);
  }
}

}  // namespace primroseweir
