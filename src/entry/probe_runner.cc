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
  head.target = record.probe;
  head.fields.Add("Host", record.address.ToString());
  return head;
}

CallResult Ended(AttemptOutcome end) {
  CallResult result;
  result.end = end;
  return result;
}

// Reads the answer to its end, so that the connection can be used again.
bool ReadWholeBody(ClientConnection* connection, Instant deadline) {
  while (true) {
    const auto piece = connection->ReadBody(deadline);
    if (!piece.ok()) return false;
    if (piece->empty()) return true;
  }
}

}  // namespace

ProbeRunner::ProbeRunner(ConnectionPool* pool, std::function<void()> probed)
    : pool_(pool), probed_(std::move(probed)), thread_([this] { RunAll(); }) {}

ProbeRunner::~ProbeRunner() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ends_ = true;
    changed_.notify_all();
  }
  thread_.join();
}

void ProbeRunner::Run(UpstreamLease lease) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (waiting_.size() >= kMaxWaiting) return;
  waiting_.push_back(std::move(lease));
  changed_.notify_all();
}

void ProbeRunner::RunAll() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return ends_ || !waiting_.empty(); });
    if (ends_) return;
    UpstreamLease lease = std::move(waiting_.front());
    waiting_.pop_front();
    lock.unlock();
    lease.Finish(Probe(lease), MonotonicNow());
    probed_();
    lock.lock();
  }
}

CallResult ProbeRunner::Probe(const UpstreamLease& lease) {
  const Instant started = MonotonicNow();
  const Instant deadline = started + kTimeout;
  auto connection = pool_->Acquire(lease.record(), false, started, deadline);
  if (!connection.ok()) return Ended(AttemptOutcome::kCancelled);
  const auto sent = (*connection)->Send(ProbeHead(lease.record()), {}, deadline);
  if (!sent.ok()) return Ended(AttemptOutcome::kConnectionLost);
  const auto head = (*connection)->ReadHead(deadline);
  if (!head.ok()) {
    const bool late = head.status().code() == absl::StatusCode::kDeadlineExceeded;
    return Ended(late ? AttemptOutcome::kTimedOut : AttemptOutcome::kConnectionLost);
  }
  CallResult result;
  result.end = (*head)->status == 200 ? AttemptOutcome::kAnswered : AttemptOutcome::kRefused;
  result.time_to_head = MonotonicNow() - started;
  result.report = detail::ParseLoadReport((*head)->fields.Get("X-Load"));
  result.leaving = (*head)->fields.Find("X-Leaving") != nullptr;
  if (!ReadWholeBody(connection->get(), deadline)) result.end = AttemptOutcome::kConnectionLost;
  return result;
}

}  // namespace primroseweir
