#include "support/relay.h"

#include <array>
#include <stdexcept>
#include <utility>

#include "primroseweir/base/time.h"

namespace primroseweir::testing {
namespace {

constexpr std::size_t kBufferBytes = 65536;
constexpr auto kLookPeriod = std::chrono::milliseconds(20);
constexpr auto kConnectTimeout = std::chrono::seconds(2);
constexpr auto kWriteTimeout = std::chrono::seconds(60);

standins::Listener MustListen(const SocketAddress& address) {
  auto listener = standins::Listener::Open(address);
  if (!listener.ok()) throw std::runtime_error("relay can't bind " + address.ToString());
  return *std::move(listener);
}

}  // namespace

// One connection of the relay, with its continuation to the target.
struct Relay::Pair {
  standins::Socket outer;
  standins::Socket inner;
};

Relay::Relay(const SocketAddress& address, const SocketAddress& target)
    : listener_(MustListen(address)), target_(target), accepting_([this] { Accept(); }) {}

Relay::~Relay() {
  ended_ = true;
  listener_.Shutdown();
  accepting_.join();
  SetCut(true);
  for (std::thread& thread : threads_) thread.join();
}

void Relay::SetCut(bool cut) {
  cut_ = cut;
  if (!cut) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& pair : pairs_) {
    pair->outer.Shutdown();
    pair->inner.Shutdown();
  }
  pairs_.clear();
}

void Relay::Accept() {
  while (!ended_) {
    auto outer = listener_.Accept();
    if (!outer.ok()) return;
    ++accepted_;
    if (cut_) continue;
    auto inner = standins::Socket::Connect(target_, MonotonicNow() + kConnectTimeout);
    if (!inner.ok()) continue;
    auto pair = std::make_shared<Pair>(Pair{*std::move(outer), *std::move(inner)});
    const std::lock_guard<std::mutex> lock(mutex_);
    pairs_.insert(pair);
    threads_.emplace_back([this, pair] { Pass(pair, true); });
    threads_.emplace_back([this, pair] { Pass(pair, false); });
  }
}

void Relay::Pass(std::shared_ptr<Pair> pair, bool inward) {
  standins::Socket& from = inward ? pair->outer : pair->inner;
  standins::Socket& to = inward ? pair->inner : pair->outer;
  std::array<char, kBufferBytes> buffer;
  while (!ended_) {
    if (silent_) {
      std::this_thread::sleep_for(kLookPeriod);
      continue;
    }
    const auto got = from.ReadSome(buffer.data(), buffer.size(), MonotonicNow() + kLookPeriod);
    if (absl::IsDeadlineExceeded(got.status())) continue;
    if (!got.ok() || *got == 0) break;
    while (silent_ && !ended_) std::this_thread::sleep_for(kLookPeriod);
    if (!to.WriteAll({buffer.data(), *got}, MonotonicNow() + kWriteTimeout).ok()) break;
  }
  pair->outer.Shutdown();
  pair->inner.Shutdown();
  const std::lock_guard<std::mutex> lock(mutex_);
  pairs_.erase(pair);
}

}  // namespace primroseweir::testing
