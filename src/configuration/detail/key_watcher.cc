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

// Time that a response may take beyond the requested wait.
constexpr Duration kResponseMargin = std::chrono::seconds(2);

}  // namespace

KeyWatcher::KeyWatcher(std::string key, std::unique_ptr<PlatformReader> reader,
                       Duration long_poll_wait, std::uint64_t random_seed,
                       ConfigurationController* controller, EventLog* events)
    : key_(std::move(key)),
      reader_(std::move(reader)),
      long_poll_wait_(long_poll_wait),
      controller_(controller),
      events_(events),
      thread_([this, random_seed] { Run(random_seed); }) {}

KeyWatcher::~KeyWatcher() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stop_requested_ = true;
  }
  stop_condition_.notify_all();
  reader_->Cancel();
  thread_.join();
}

bool KeyWatcher::WaitBeforeRetry(Duration duration) {
  std::unique_lock<std::mutex> lock(mutex_);
  return !stop_condition_.wait_for(lock, duration, [this] { return stop_requested_; });
}

void KeyWatcher::Run(std::uint64_t random_seed) {
  Random random(random_seed);
  Duration backoff = WatchPolicy::kMinBackoff;
  // Last revision read, whether adopted or rejected, so that a rejected value is not read in a
  // loop.
  Revision last_read = RevisionInForce(key_, *controller_);
  while (true) {
    const Instant start = MonotonicNow();
    auto result =
        reader_->Read(key_, last_read, long_poll_wait_, long_poll_wait_ + kResponseMargin);
    const bool is_unchanged = result.ok() && !result->has_value();
    // A service that responds "unchanged" without waiting must not be polled without back-off.
    const bool has_waited = MonotonicNow() - start >= long_poll_wait_ / 2;
    if (is_unchanged && has_waited) {
      backoff = WatchPolicy::kMinBackoff;
      // A newer revision arrived by another way, such as from a peer: this address is stale.
      if (RevisionInForce(key_, *controller_) > last_read) reader_->UseNextAddress();
      continue;
    }
    if (result.ok() && result->has_value()) {
      backoff = WatchPolicy::kMinBackoff;
      last_read = (*result)->revision;
      OfferReadValue(key_, std::move(**result), controller_);
      continue;
    }
    if (result.status().code() == absl::StatusCode::kCancelled) return;
    if (!result.ok() && result.status().code() != absl::StatusCode::kNotFound) {
      LogReadFailure(key_, result.status(), events_);
      reader_->UseNextAddress();
    }
    const double jitter = 0.5 + 0.5 * random.UniformUnit();
    if (!WaitBeforeRetry(std::chrono::duration_cast<Duration>(jitter * backoff))) return;
    backoff = std::min(2 * backoff, WatchPolicy::kMaxBackoff);
  }
}

void LogReadFailure(const std::string& key, const absl::Status& status, EventLog* events) {
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

void OfferReadValue(const std::string& key, ConfigurationValue value,
                    ConfigurationController* controller) {
  ConfigurationValues values;
  values[key] = std::move(value);
  controller->Offer(values, MonotonicNow());
}

}  // namespace primroseweir::detail
