#include "primroseweir/entry/probe_runner.h"

#include <utility>

#include "primroseweir/base/time.h"
#include "primroseweir/filters/connection_pool.h"
#include "primroseweir/filters/detail/attempt.h"
#include "primroseweir/filters/pooled_connection.h"
#include "primroseweir/http/client_connection.h"

namespace primroseweir {
namespace {

RequestHead ProbeHead(const UpstreamRecord& record) {
  RequestHead head;
  head.target = record.probe_target;
  head.fields.Add("Host", record.address.ToString());
  return head;
}

CallResult ResultOf(AttemptEnd outcome) {
  CallResult result;
  result.outcome = outcome;
  return result;
}

// Reads and discards the rest of the response, so that the connection can be reused. Returns false
// on an error.
bool DiscardBody(ClientConnection* connection, Instant deadline) {
  while (true) {
    const auto chunk = connection->ReadBody(deadline);
    if (!chunk.ok()) return false;
    if (chunk->empty()) return true;
  }
}

}  // namespace

ProbeRunner::ProbeRunner(ConnectionPool* pool, std::function<void()> on_probe_done)
    : pool_(pool), on_probe_done_(std::move(on_probe_done)), thread_([this] { RunLoop(); }) {}

ProbeRunner::~ProbeRunner() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  thread_.join();
}

void ProbeRunner::Enqueue(UpstreamLease lease) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (queue_.size() >= kMaxQueuedProbes) return;
  queue_.push_back(std::move(lease));
  changed_.notify_all();
}

void ProbeRunner::RunLoop() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (stopping_) return;
    UpstreamLease lease = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    lease.Finish(Probe(lease), MonotonicNow());
    on_probe_done_();
    lock.lock();
  }
}

CallResult ProbeRunner::Probe(const UpstreamLease& lease) {
  const Instant started = MonotonicNow();
  const Instant deadline = started + kProbeTimeout;
  auto connection = pool_->Acquire(lease.record(), false, started, deadline);
  if (!connection.ok()) return ResultOf(AttemptEnd::kCancelled);
  const auto sent = (*connection)->Send(ProbeHead(lease.record()), {}, deadline);
  if (!sent.ok()) return ResultOf(AttemptEnd::kConnectionLost);
  const auto head = (*connection)->ReadHead(deadline);
  if (!head.ok()) {
    const bool is_timed_out = head.status().code() == absl::StatusCode::kDeadlineExceeded;
    return ResultOf(is_timed_out ? AttemptEnd::kTimedOut : AttemptEnd::kConnectionLost);
  }
  CallResult result;
  result.outcome = (*head)->status == 200 ? AttemptEnd::kResponded : AttemptEnd::kRefused;
  result.time_to_head = MonotonicNow() - started;
  result.report = detail::ParseLoadReport((*head)->fields.Get("X-Load"));
  result.leaving = (*head)->fields.Find("X-Leaving").has_value();
  if (!DiscardBody(connection->get(), deadline)) result.outcome = AttemptEnd::kConnectionLost;
  return result;
}

}  // namespace primroseweir
