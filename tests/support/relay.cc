#include "support/relay.h"

#include <array>
#include <stdexcept>
#include <utility>

#include "primroseweir/base/time.h"

namespace primroseweir::testing {
namespace {

constexpr std::size_t kBufferBytes = 65536;
constexpr auto kPollInterval = std::chrono::milliseconds(20);
constexpr auto kConnectTimeout = std::chrono::seconds(2);
constexpr auto kWriteTimeout = std::chrono::seconds(60);

standins::Listener ListenOrThrow(const SocketAddress& address) {
  auto listener = standins::Listener::Open(address);
  if (!listener.ok()) throw std::runtime_error("relay can't bind " + address.ToString());
  return *std::move(listener);
}

}  // namespace

// An accepted connection and the matching connection to the target.
struct Relay::ConnectionPair {
  standins::Socket client;
  standins::Socket target;
};

Relay::Relay(const SocketAddress& address, const SocketAddress& target)
    : listener_(ListenOrThrow(address)), target_(target), accept_thread_([this] { Accept(); }) {}

Relay::~Relay() {
  stopping_ = true;
  listener_.Shutdown();
  accept_thread_.join();
  SetCut(true);
  for (std::thread& thread : forwarding_threads_) thread.join();
}

void Relay::SetCut(bool cut) {
  cut_ = cut;
  if (!cut) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& pair : pairs_) {
    pair->client.Shutdown();
    pair->target.Shutdown();
  }
  pairs_.clear();
}

void Relay::Accept() {
  while (!stopping_) {
    auto client = listener_.Accept();
    if (!client.ok()) return;
    ++accepted_;
    if (cut_) continue;
    auto target = standins::Socket::Connect(target_, MonotonicNow() + kConnectTimeout);
    if (!target.ok()) continue;
    auto pair =
        std::make_shared<ConnectionPair>(ConnectionPair{*std::move(client), *std::move(target)});
    const std::lock_guard<std::mutex> lock(mutex_);
    pairs_.insert(pair);
    forwarding_threads_.emplace_back([this, pair] { Forward(pair, true); });
    forwarding_threads_.emplace_back([this, pair] { Forward(pair, false); });
  }
}

void Relay::Forward(std::shared_ptr<ConnectionPair> pair, bool to_target) {
  standins::Socket& from = to_target ? pair->client : pair->target;
  standins::Socket& to = to_target ? pair->target : pair->client;
  std::array<char, kBufferBytes> buffer;
  while (!stopping_) {
    if (silent_) {
      std::this_thread::sleep_for(kPollInterval);
      continue;
    }
    const auto received_bytes =
        from.ReadSome(buffer.data(), buffer.size(), MonotonicNow() + kPollInterval);
    if (absl::IsDeadlineExceeded(received_bytes.status())) continue;
    if (!received_bytes.ok() || *received_bytes == 0) break;
    while (silent_ && !stopping_) std::this_thread::sleep_for(kPollInterval);
    if (!to.WriteAll({buffer.data(), *received_bytes}, MonotonicNow() + kWriteTimeout).ok()) break;
  }
  pair->client.Shutdown();
  pair->target.Shutdown();
  const std::lock_guard<std::mutex> lock(mutex_);
  pairs_.erase(pair);
}

}  // namespace primroseweir::testing
