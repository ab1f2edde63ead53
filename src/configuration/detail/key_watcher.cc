#include "primroseweir/configuration/detail/key_watcher.h"

#include <algorithm>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/base/event_log.h"
#include "primroseweir/base/random.h"
#include "primroseweir/configuration/configuration_controller.h"
#include "primroseweir/configuration/watch_policy.h"

namespace primroseweir::detail {
namespace {

// Time that an answer may take beyond the wait that was asked for.
constexpr Duration kResponseTime = std::chrono::seconds(2);

}  // namespace

KeyWatcher::KeyWatcher(std::string key, std::unique_ptr<PlatformReader> reader, Duration watch,
                       std::uint64_t random_seed, ConfigurationController* controller,
                       EventLog* events)
    : key_(std::move(key)),
      reader_(std::move(reader)),
      watch_(watch),
      controller_(controller),
      events_(events),
      thread_([this, random_seed] { Run(random_seed); }) {}

KeyWatcher::~KeyWatcher() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    end_ = true;
  }
  ended_.notify_all();
  reader_->Cancel();
  thread_.join();
}

bool KeyWatcher::Pause(Duration duration) {
  std::unique_lock<std::mutex> lock(mutex_);
  return !ended_.wait_for(lock, duration, [this] { return end_; });
}

void KeyWatcher::Run(std::uint64_t random_seed) {
  Random random(random_seed);
  Duration backoff = WatchPolicy::kMinBackoff;
  // The revision last read, accepted or not: a rejected value must not be read in a loop.
  Revision seen = RevisionInForce(key_, *controller_);
  while (true) {
    const Instant start = MonotonicNow();
    auto result = reader_->Read(key_, seen, watch_, watch_ + kResponseTime);
    const bool unchanged = result.ok() && !result->has_value();
    // A service that answers "unchanged" without waiting must not be asked in a loop.
    const bool waited = MonotonicNow() - start >= watch_ / 2;
    if (unchanged && waited) {
      backoff = WatchPolicy::kMinBackoff;
      // Peers know more than this address of the service, which is therefore stale.
      if (RevisionInForce(key_, *controller_) > seen) reader_->UseNextAddress();
      continue;
    }
    if (result.ok() && result->has_value()) {
      backoff = WatchPolicy::kMinBackoff;
      seen = (*result)->revision;
      OfferRead(key_, std::move(**result), controller_);
      continue;
    }
    if (result.status().code() == absl::StatusCode::kCancelled) return;
    if (!result.ok() && result.status().code() != absl::StatusCode::kNotFound) {
      ReportReadFailure(key_, result.status(), events_);
      reader_->UseNextAddress();
    }
    const double jitter = 0.5 + 0.5 * random.Unit();
    if (!Pause(std::chrono::duration_cast<Duration>(jitter * backoff))) return;
    backoff = std::min(2 * backoff, WatchPolicy::kMaxBackoff);
  }
}

void ReportReadFailure(const std::string& key, const absl::Status& status, EventLog* events) {
  const ErrorOrigin origin = OriginOf(status);
  events->Emit(
      "configuration_read_failed",
      {{"key", key}, {"step", origin.step}, {"peer", origin.peer}, {"error", MessageOf(status)}});
}

Revision RevisionInForce(const std::string& key, const ConfigurationController& controller) {
  const auto snapshot = controller.Current();
  const auto found = snapshot->key_revisions.find(key);
  return found == snapshot->key_revisions.end() ? Revision() : found->second;
}

void OfferRead(const std::string& key, ConfigurationValue value,
               ConfigurationController* controller) {
  ConfigurationValues values;
  values[key] = std::move(value);
  controller->Offer(values, MonotonicNow());
}

}  // namespace primroseweir::detail
