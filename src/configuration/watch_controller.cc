#include "primroseweir/configuration/watch_controller.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "primroseweir/base/event_log.h"
#include "primroseweir/base/random.h"
#include "primroseweir/configuration/configuration_controller.h"
#include "primroseweir/configuration/detail/key_watcher.h"
#include "primroseweir/configuration/value_key.h"
#include "primroseweir/configuration/watch_policy.h"

namespace primroseweir {
namespace {

// Returns the keys to read: the fixed ones and those of the parts named by the list in force.
std::set<std::string> KeysToRead(const ConfigurationController& controller) {
  std::set<std::string> keys = {kTextKey, kDeclarationsKey, kInstancesKey};
  const auto current = controller.Current();
  for (const DataCentre& part : current->parts) keys.insert(PartKey(part));
  return keys;
}

}  // namespace

class WatchController::Implementation {
 public:
  Implementation(const Options& options, ReaderFactory factory, ConfigurationController* controller,
                 EventLog* events)
      : options_(options),
        factory_(std::move(factory)),
        controller_(controller),
        events_(events),
        policy_(options.policy),
        random_(options.policy.random_seed + 1),
        poll_reader_(factory_()),
        refresh_reader_(factory_()),
        live_seats_{options.policy.seat},
        thread_([this] { Run(); }) {}

  ~Implementation() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stop_requested_ = true;
    }
    stop_condition_.notify_all();
    poll_reader_->Cancel();
    refresh_reader_->Cancel();
    thread_.join();
  }

  void SetLiveSeats(const std::set<Seat>& live) {
    const std::lock_guard<std::mutex> lock(mutex_);
    live_seats_ = live;
  }

  bool RefreshDeclarations(Duration timeout) {
    const std::unique_lock<std::mutex> lock(refresh_mutex_, std::try_to_lock);
    return lock.owns_lock() && ReadDeclarations(refresh_reader_.get(), timeout);
  }

 private:
  using Action = WatchPolicy::Action;

  void Run() {
    while (std::optional<std::set<Seat>> live = WaitForNextDecision()) {
      const std::set<std::string> keys = KeysToRead(*controller_);
      policy_.SetLiveSeatsAndKeys(*live, keys.size());
      const Action action = policy_.Decide(controller_->LastContact(), MonotonicNow());
      if (action != last_action_ && action != Action::kPoll) LogAction(action);
      UpdateWatchers(action == Action::kWatch ? keys : std::set<std::string>());
      if (action == Action::kPoll) Poll(keys);
    }
    watchers_.clear();
  }

  // Waits for one decision interval and returns the live seats; nullopt when the controller is
  // being destroyed.
  std::optional<std::set<Seat>> WaitForNextDecision() {
    std::unique_lock<std::mutex> lock(mutex_);
    const bool should_stop = stop_condition_.wait_for(lock, options_.decision_interval,
                                                      [this] { return stop_requested_; });
    return should_stop ? std::nullopt : std::make_optional(live_seats_);
  }

  void LogAction(Action action) {
    last_action_ = action;
    events_->Emit("configuration_source", {{"watch", action == Action::kWatch ? "1" : "0"},
                                           {"live_seats", std::to_string(LiveSeatCount())}});
  }

  std::size_t LiveSeatCount() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return live_seats_.size();
  }

  void UpdateWatchers(const std::set<std::string>& keys) {
    for (auto watcher = watchers_.begin(); watcher != watchers_.end();) {
      watcher = keys.count(watcher->first) > 0 ? std::next(watcher) : watchers_.erase(watcher);
    }
    for (const std::string& key : keys) {
      if (watchers_.count(key) > 0) continue;
      watchers_[key] = std::make_unique<detail::KeyWatcher>(
          key, factory_(), options_.long_poll_wait, random_.UniformBelow(UINT64_MAX), controller_,
          events_);
    }
  }

  void Poll(const std::set<std::string>& keys) {
    const Instant contact = controller_->LastContact();
    for (const std::string& key : keys) {
      if (key == kDeclarationsKey) {
        ReadDeclarations(poll_reader_.get(), kPollTimeout);
      } else {
        ReadNewer(key);
      }
    }
    // Without a new contact the address is down or stale, so the next poll uses another one.
    if (controller_->LastContact() == contact) poll_reader_->UseNextAddress();
  }

  void ReadNewer(const std::string& key) {
    Revision& last_read = polled_revisions_[key];
    last_read = std::max(last_read, detail::RevisionInForce(key, *controller_));
    auto result = poll_reader_->Read(key, last_read, Duration::zero(), kPollTimeout);
    if (!HasResponded(key, result.status()) || !result.ok() || !result->has_value()) return;
    last_read = (*result)->revision;
    detail::OfferReadValue(key, std::move(**result), controller_);
  }

  // Requests the current revision or a newer one: unlike a stale service, one that is up to date
  // then returns a value. Returns true when the service responded.
  bool ReadDeclarations(PlatformReader* reader, Duration timeout) {
    const Revision current = detail::RevisionInForce(kDeclarationsKey, *controller_);
    const Revision after = current == Revision() ? current : Revision(current.value() - 1);
    auto result = reader->Read(kDeclarationsKey, after, Duration::zero(), timeout);
    if (!HasResponded(kDeclarationsKey, result.status())) return false;
    const bool found = result.ok() && result->has_value();
    const Revision revision = found ? (*result)->revision : Revision();
    if (found) detail::OfferReadValue(kDeclarationsKey, std::move(**result), controller_);
    // Only declarations decide which data centres may get new calls, so confirming their revision
    // counts as confirming the whole configuration.
    if (revision >= current) {
      controller_->RecordContact(controller_->Current()->revision, MonotonicNow());
    }
    return true;
  }

  // Returns whether the service responded, also with "no such key". Logs any other failure except a
  // cancellation.
  bool HasResponded(const std::string& key, const absl::Status& status) {
    if (status.ok() || status.code() == absl::StatusCode::kNotFound) return true;
    const bool cancelled = status.code() == absl::StatusCode::kCancelled;
    if (!cancelled) detail::LogReadFailure(key, status, events_);
    return false;
  }

  static constexpr Duration kPollTimeout = std::chrono::seconds(2);

  const Options options_;
  const ReaderFactory factory_;
  ConfigurationController* const controller_;
  EventLog* const events_;
  WatchPolicy policy_;
  Random random_;
  const std::unique_ptr<PlatformReader> poll_reader_;
  const std::unique_ptr<PlatformReader> refresh_reader_;
  std::mutex refresh_mutex_;
  std::map<std::string, std::unique_ptr<detail::KeyWatcher>> watchers_;
  std::map<std::string, Revision> polled_revisions_;
  std::optional<Action> last_action_;
  std::mutex mutex_;
  std::condition_variable stop_condition_;
  std::set<Seat> live_seats_;
  bool stop_requested_ = false;
  std::thread thread_;
};

WatchController::WatchController(const Options& options, ReaderFactory factory,
                                 ConfigurationController* controller, EventLog* events)
    : implementation_(
          std::make_unique<Implementation>(options, std::move(factory), controller, events)) {}

WatchController::~WatchController() = default;

void WatchController::SetLiveSeats(const std::set<Seat>& live_in_data_centre) {
  implementation_->SetLiveSeats(live_in_data_centre);
}

bool WatchController::RefreshDeclarations(Duration timeout) {
  return implementation_->RefreshDeclarations(timeout);
}

}  // namespace primroseweir
