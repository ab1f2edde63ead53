#include "primroseweir/configuration/configuration_controller.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <utility>

#include "primroseweir/base/event_log.h"
#include "primroseweir/base/rcu_cell.h"
#include "primroseweir/configuration/detail/accepted_values.h"

namespace primroseweir {

class ConfigurationController::Implementation {
 public:
  explicit Implementation(EventLog* events)
      : events_(events), current_(std::make_shared<const ConfigurationSnapshot>()) {}

  void Offer(const ConfigurationValues& values, Instant now) {
    const std::lock_guard<std::mutex> offer_lock(offer_mutex_);
    Revision highest;
    bool changed = false;
    for (const auto& [key, value] : values) {
      highest = std::max(highest, value.revision);
      changed = OfferValue(key, value) || changed;
    }
    if (changed) Publish(now);
    RecordContact(highest, now);
  }

  void RecordContact(Revision revision, Instant now) {
    // A revision below the one in force comes from a stale platform address or an outdated peer and
    // does not confirm the current one. Revision 0 counts as contact for an instance that has no
    // value yet.
    if (revision < Current()->revision) return;
    Instant::rep contact = last_contact_.load();
    const Instant::rep now_ticks = now.time_since_epoch().count();
    while (contact < now_ticks && !last_contact_.compare_exchange_weak(contact, now_ticks)) {
    }
  }

  Instant LastContact() const { return Instant(Duration(last_contact_.load())); }

  void AddListener(Listener listener) {
    const std::lock_guard<std::mutex> offer_lock(offer_mutex_);
    listeners_.push_back(std::move(listener));
  }

  std::shared_ptr<const ConfigurationSnapshot> Current() const { return current_.Load(); }

  ConfigurationValues ValuesAfter(Revision after) const {
    const std::lock_guard<std::mutex> lock(accepted_mutex_);
    return accepted_.After(after);
  }

  std::vector<ConfigurationRejection> Rejections() const {
    const std::lock_guard<std::mutex> lock(accepted_mutex_);
    std::vector<ConfigurationRejection> rejections;
    for (const auto& [key, rejection] : rejections_) rejections.push_back(rejection);
    return rejections;
  }

 private:
  using OfferResult = detail::AcceptedValues::OfferResult;

  bool OfferValue(const std::string& key, const ConfigurationValue& value) {
    OfferResult outcome;
    {
      const std::lock_guard<std::mutex> lock(accepted_mutex_);
      outcome = accepted_.Offer(key, value);
      if (outcome.kind == OfferResult::Kind::kAdopted) ClearRejection(key, value.revision);
      if (outcome.kind == OfferResult::Kind::kRejected) {
        rejections_[key] = {key, value.revision, outcome.errors};
      }
    }
    if (outcome.kind == OfferResult::Kind::kRejected) ReportRejection(key, value, outcome.errors);
    if (outcome.kind != OfferResult::Kind::kAdopted) return false;
    events_->Emit("configuration_value_adopted",
                  {{"key", key}, {"revision", std::to_string(value.revision.value())}});
    return true;
  }

  void ClearRejection(const std::string& key, Revision adopted) {
    const auto found = rejections_.find(key);
    if (found != rejections_.end() && found->second.revision < adopted) rejections_.erase(found);
  }

  void ReportRejection(const std::string& key, const ConfigurationValue& value,
                       const std::vector<ValidationError>& errors) {
    for (const ValidationError& validation_error : errors) {
      events_->Emit("configuration_rejected", {{"key", key},
                                               {"revision", std::to_string(value.revision.value())},
                                               {"line", std::to_string(validation_error.line)},
                                               {"field", validation_error.field},
                                               {"problem", validation_error.problem},
                                               {"expected", validation_error.expected}});
    }
  }

  void Publish(Instant now) {
    std::shared_ptr<const ConfigurationSnapshot> snapshot;
    {
      const std::lock_guard<std::mutex> lock(accepted_mutex_);
      snapshot = accepted_.Snapshot(*Current());
    }
    current_.Store(snapshot);
    events_->Emit("configuration_in_force",
                  {{"revision", std::to_string(snapshot->revision.value())},
                   {"services", std::to_string(snapshot->services.size())},
                   {"upstreams", std::to_string(snapshot->upstreams.size())},
                   {"out", std::to_string(snapshot->data_centres_out.size())}});
    for (const Listener& listener : listeners_) listener(snapshot, now);
  }

  EventLog* const events_;
  // Held for the whole of an offer, so that snapshots are published in the order of their
  // revisions.
  std::mutex offer_mutex_;
  // Held only while the values are read or changed, since listeners may call ValuesAfter().
  mutable std::mutex accepted_mutex_;
  detail::AcceptedValues accepted_;
  std::map<std::string, ConfigurationRejection> rejections_;
  RcuCell<ConfigurationSnapshot> current_;
  std::atomic<Instant::rep> last_contact_{0};
  std::vector<Listener> listeners_;
};

ConfigurationController::ConfigurationController(EventLog* events)
    : implementation_(std::make_unique<Implementation>(events)) {}

ConfigurationController::~ConfigurationController() = default;

void ConfigurationController::Offer(const ConfigurationValues& values, Instant now) {
  implementation_->Offer(values, now);
}

void ConfigurationController::RecordContact(Revision revision, Instant now) {
  implementation_->RecordContact(revision, now);
}

Instant ConfigurationController::LastContact() const { return implementation_->LastContact(); }

void ConfigurationController::AddListener(Listener listener) {
  implementation_->AddListener(std::move(listener));
}

std::shared_ptr<const ConfigurationSnapshot> ConfigurationController::Current() const {
  return implementation_->Current();
}

std::vector<ConfigurationRejection> ConfigurationController::Rejections() const {
  return implementation_->Rejections();
}

ConfigurationValues ConfigurationController::ValuesAfter(Revision after) const {
  return implementation_->ValuesAfter(after);
}

}  // namespace primroseweir
