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

// One connection with one call at a time.
class Worker {
 public:
  Worker(const Route& route, int number) : route_(route), number_(number) {}

  void RunUntil(Instant end) {
    while (MonotonicNow() < end) {
      const Instant started = MonotonicNow();
      if (Call(started + kCallTimeout)) {
        latencies_.push_back(MonotonicNow() - started);
      } else {
        ++failed_;
        connection_.reset();
      }
    }
  }

  const std::vector<Duration>& latencies() const { return latencies_; }
  std::uint64_t failed() const { return failed_; }

 private:
  bool Call(Instant deadline) {
    if (!Connect(deadline)) return false;
    RequestHead head;
    head.target = route_.target + std::to_string(number_) + "-" + std::to_string(calls_++);
    head.fields.Add("Host", route_.address.ToString());
    if (!connection_->Send(head, {}, deadline).ok()) return false;
    const auto response = connection_->ReadHead(deadline);
    if (!response.ok() || (*response)->status != 200) return false;
    return ReadWholeBody(deadline);
  }

  bool Connect(Instant deadline) {
    if (connection_ != nullptr && connection_->IsReusable()) return true;
    if (connection_ != nullptr && calls_ > 0) connection_.reset();
    if (connection_ == nullptr) {
      auto opened = ClientConnection::Open(route_.address, deadline);
      if (!opened.ok()) return false;
      connection_ = std::move(*opened);
    }
    return true;
  }

  bool ReadWholeBody(Instant deadline) {
    while (true) {
      const auto piece = connection_->ReadBody(deadline);
      if (!piece.ok()) return false;
      if (piece->empty()) return true;
    }
  }

  const Route route_;
  const int number_;
  std::unique_ptr<ClientConnection> connection_;
  std::uint64_t calls_ = 0;
  std::vector<Duration> latencies_;
  std::uint64_t failed_ = 0;
};

}  // namespace

Duration LoopResult::Percentile(double quantile) const {
  if (latencies.empty()) return Duration::zero();
  const auto last = static_cast<double>(latencies.size() - 1);
  return latencies[static_cast<std::size_t>(quantile * last)];
}

double LoopResult::CallsPerSecond() const {
  return static_cast<double>(latencies.size()) / std::chrono::duration<double>(elapsed).count();
}

LoopResult RunClosedLoop(const Route& route, int concurrency, Duration length) {
  std::vector<Worker> workers;
  for (int i = 0; i < concurrency; ++i) workers.emplace_back(route, i);
  const Instant started = MonotonicNow();
  std::vector<std::thread> threads;
  for (Worker& worker : workers) {
    threads.emplace_back([&worker, started, length] { worker.RunUntil(started + length); });
  }
  for (std::thread& thread : threads) thread.join();
  LoopResult result;
  result.elapsed = MonotonicNow() - started;
  for (const Worker& worker : workers) {
    result.latencies.insert(result.latencies.end(), worker.latencies().begin(),
                            worker.latencies().end());
    result.failed += worker.failed();
  }
  std::sort(result.latencies.begin(), result.latencies.end());
  return result;
}

}  // namespace primroseweir::bench
