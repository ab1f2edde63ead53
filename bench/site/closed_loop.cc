#include "bench/site/closed_loop.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "primroseweir/http/client_connection.h"

namespace primroseweir::bench {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(10);

// Sends calls one at a time over a persistent connection.
class Worker {
 public:
  Worker(const Destination& destination, int worker_index)
      : destination_(destination), worker_index_(worker_index) {}

  void RunUntil(Instant end) {
    while (MonotonicNow() < end) {
      const Instant started_at = MonotonicNow();
      if (RunCall(started_at + kCallTimeout)) {
        latencies_.push_back(MonotonicNow() - started_at);
      } else {
        ++failed_;
        connection_.reset();
      }
    }
  }

  const std::vector<Duration>& latencies() const { return latencies_; }
  std::uint64_t failed() const { return failed_; }

 private:
  bool RunCall(Instant deadline) {
    if (!EnsureConnected(deadline)) return false;
    RequestHead head;
    head.target =
        destination_.target + std::to_string(worker_index_) + "-" + std::to_string(calls_++);
    head.fields.Add("Host", destination_.address.ToString());
    if (!connection_->Send(head, {}, deadline).ok()) return false;
    const auto response = connection_->ReadHead(deadline);
    if (!response.ok() || (*response)->status != 200) return false;
    return ReadBodyToEnd(deadline);
  }

  bool EnsureConnected(Instant deadline) {
    if (connection_ != nullptr && connection_->IsReusable()) return true;
    if (connection_ != nullptr && calls_ > 0) connection_.reset();
    if (connection_ == nullptr) {
      auto opened = ClientConnection::Open(destination_.address, deadline);
      if (!opened.ok()) return false;
      connection_ = std::move(*opened);
    }
    return true;
  }

  bool ReadBodyToEnd(Instant deadline) {
    while (true) {
      const auto chunk = connection_->ReadBody(deadline);
      if (!chunk.ok()) return false;
      if (chunk->empty()) return true;
    }
  }

  const Destination destination_;
  const int worker_index_;
  std::unique_ptr<ClientConnection> connection_;
  std::uint64_t calls_ = 0;
  std::vector<Duration> latencies_;
  std::uint64_t failed_ = 0;
};

}  // namespace

Duration LoopResult::Percentile(double quantile) const {
  if (latencies.empty()) return Duration::zero();
  const auto last_index = static_cast<double>(latencies.size() - 1);
  return latencies[static_cast<std::size_t>(quantile * last_index)];
}

double LoopResult::CallsPerSecond() const {
  return static_cast<double>(latencies.size()) / std::chrono::duration<double>(elapsed).count();
}

LoopResult RunClosedLoop(const Destination& destination, int concurrency, Duration length) {
  std::vector<Worker> workers;
  for (int i = 0; i < concurrency; ++i) workers.emplace_back(destination, i);
  const Instant started_at = MonotonicNow();
  std::vector<std::thread> threads;
  for (Worker& worker : workers) {
    threads.emplace_back([&worker, started_at, length] { worker.RunUntil(started_at + length); });
  }
  for (std::thread& thread : threads) thread.join();
  LoopResult result;
  result.elapsed = MonotonicNow() - started_at;
  for (const Worker& worker : workers) {
    result.latencies.insert(result.latencies.end(), worker.latencies().begin(),
                            worker.latencies().end());
    result.failed += worker.failed();
  }
  std::sort(result.latencies.begin(), result.latencies.end());
  return result;
}

}  // namespace primroseweir::bench
