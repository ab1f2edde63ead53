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

// The keys that the system reads: the fixed ones and the parts that the list names, once it is
// read.
std::set<std::string> KeysOf(const ConfigurationController& controller) {
  std::set<std::string> keys = {kTextKey, kDeclarationsKey, kInstancesKey};
  for (const DataCentre& part : controller.Current()->parts) keys.insert(PartKey(part));
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
        poller_(factory_()),
        refresher_(factory_()),
        live_{options.policy.seat},
        thread_([this] { Run(); }) {}

  ~Implementation() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      end_ = true;
    }
    ended_.notify_all();
    poller_->Cancel();
    refresher_->Cancel();
    thread_.join();
  }

  void SetLiveSeats(const std::set<Seat>& live) {
    const std::lock_guard<std::mutex> lock(mutex_);
    live_ = live;
  }

  bool RefreshDeclarations(Duration limit) {
    const std::unique_lock<std::mutex> lock(refresh_mutex_, std::try_to_lock);
    return lock.owns_lock() && ReadDeclarations(refresher_.get(), limit);
  }

 private:
  using Action = WatchPolicy::Action;

  void Run() {
    while (std::optional<std::set<Seat>> live = NextView()) {
      const std::set<std::string> keys = KeysOf(*controller_);
      policy_.SetView(*live, keys.size());
      const Action action = policy_.Decide(controller_->LastContact(), MonotonicNow());
      if (action != last_action_ && action != Action::kPoll) ReportAction(action);
      Watch(action == Action::kWatch ? keys : std::set<std::string>());
      if (action == Action::kPoll) Poll(keys);
    }
    watchers_.clear();
  }

  // Waits for the next decision; nothing when the controller ends.
  std::optional<std::set<Seat>> NextView() {
    std::unique_lock<std::mutex> lock(mutex_);
    const bool end = ended_.wait_for(lock, options_.period, [this] { return end_; });
    return end ? std::nullopt : std::make_optional(live_);
  }

  void ReportAction(Action action) {
    last_action_ = action;
    events_->Emit("configuration_source", {{"watch", action == Action::kWatch ? "1" : "0"},
                                           {"live_seats", std::to_string(LiveCount())}});
  }

  std::size_t LiveCount() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return live_.size();
  }

  void Watch(const std::set<std::string>& keys) {
    for (auto watcher = watchers_.begin(); watcher != watchers_.end();) {
      watcher = keys.count(watcher->first) > 0 ? std::next(watcher) : watchers_.erase(watcher);
    }
    for (const std::string& key : keys) {
      if (watchers_.count(key) > 0) continue;
      watchers_[key] = std::make_unique<detail::KeyWatcher>(
          key, factory_(), options_.watch, random_.Below(UINT64_MAX), controller_, events_);
    }
  }

  void Poll(const std::set<std::string>& keys) {
    const Instant contact = controller_->LastContact();
    for (const std::string& key : keys) {
      if (key == kDeclarationsKey) {
        ReadDeclarations(poller_.get(), kPollLimit);
      } else {
        ReadNewer(key);
      }
    }
    // This address is down or stale; the next poll takes another one.
    if (controller_->LastContact() == contact) poller_->UseNextAddress();
  }

  void ReadNewer(const std::string& key) {
    Revision& seen = polled_[key];
    seen = std::max(seen, detail::RevisionInForce(key, *controller_));
    auto result = poller_->Read(key, seen, Duration::zero(), kPollLimit);
    if (!Answered(key, result.status()) || !result.ok() || !result->has_value()) return;
    seen = (*result)->revision;
    detail::OfferRead(key, std::move(**result), controller_);
  }

  // Asks for the present revision or a newer one, so that the answer tells a service that confirms
  // it from one that is stale. True when the service answered.
  bool ReadDeclarations(PlatformReader* reader, Duration limit) {
    const Revision present = detail::RevisionInForce(kDeclarationsKey, *controller_);
    const Revision after = present == Revision() ? present : Revision(present.value() - 1);
    auto result = reader->Read(kDeclarationsKey, after, Duration::zero(), limit);
    if (!Answered(kDeclarationsKey, result.status())) return false;
    const bool found = result.ok() && result->has_value();
    const Revision revision = found ? (*result)->revision : Revision();
    if (found) detail::OfferRead(kDeclarationsKey, std::move(**result), controller_);
    // Declarations alone decide where new work may go, so their revision counts as the present one.
    if (revision >= present) {
      controller_->RecordContact(controller_->Current()->revision, MonotonicNow());
    }
    return true;
  }

  // Whether the service answered, a missing key included. Reports a failure.
  bool Answered(const std::string& key, const absl::Status& status) {
    if (status.ok() || status.code() == absl::StatusCode::kNotFound) return true;
    const bool cancelled = status.code() == absl::StatusCode::kCancelled;
    if (!cancelled) detail::ReportReadFailure(key, status, events_);
    return false;
  }

  static constexpr Duration kPollLimit = std::chrono::seconds(2);

  const Options options_;
  const ReaderFactory factory_;
  ConfigurationController* const controller_;
  EventLog* const events_;
  WatchPolicy policy_;
  Random random_;
  const std::unique_ptr<PlatformReader> poller_;
  const std::unique_ptr<PlatformReader> refresher_;
  std::mutex refresh_mutex_;
  std::map<std::string, std::unique_ptr<detail::KeyWatcher>> watchers_;
  std::map<std::string, Revision> polled_;
  std::optional<Action> last_action_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::set<Seat> live_;
  bool end_ = false;
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

bool WatchController::RefreshDeclarations(Duration limit) {
  return implementation_->RefreshDeclarations(limit);
}

}  // namespace primroseweir
