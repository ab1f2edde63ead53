#include "primroseweir/configuration/detail/accepted_values.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "primroseweir/base/rendezvous.h"
#include "primroseweir/configuration/declarations_parser.h"
#include "primroseweir/configuration/instances_parser.h"
#include "primroseweir/configuration/text_parser.h"
#include "primroseweir/configuration/value_key.h"

namespace primroseweir::detail {
namespace {

// Rejected revisions remembered for each key, so that a value that peers offer again is not checked
// and reported again.
constexpr std::size_t kRememberedRejections = 16;
// Bounds what a faulty peer can make an instance keep; the list itself names at most 64 parts.
constexpr std::size_t kMostKeys = 3 + 64;

template <typename T>
std::vector<ValidationError> Take(Validated<T> checked, T* target) {
  if (checked.ok()) *target = std::move(checked.value);
  return std::move(checked.errors);
}

// Appends upstreams whose id is not in the snapshot yet: in a move between data centres two parts
// may list one id, and the part that stands first in the list counts on all instances.
void Append(const std::vector<UpstreamRecord>& upstreams, std::unordered_set<std::string>* ids,
            ConfigurationSnapshot* snapshot) {
  for (const UpstreamRecord& upstream : upstreams) {
    if (ids->insert(upstream.id.value()).second) snapshot->upstreams.push_back(upstream);
  }
}

}  // namespace

AcceptedValues::OfferResult AcceptedValues::Offer(const std::string& key,
                                                  const ConfigurationValue& value) {
  OfferResult outcome;
  if (!IsKnownKey(key) || value.revision <= RevisionOf(key)) return outcome;
  if (accepted_.size() >= kMostKeys && accepted_.count(key) == 0) return outcome;
  if (WasRejectedBefore(key, value.revision)) {
    outcome.kind = OfferResult::Kind::kRejectedBefore;
    return outcome;
  }
  outcome.errors = Parse(key, value.text);
  if (!outcome.errors.empty()) {
    outcome.kind = OfferResult::Kind::kRejected;
    RememberRejection(key, value.revision);
    return outcome;
  }
  outcome.kind = OfferResult::Kind::kAdopted;
  accepted_[key] = {value.revision, std::make_shared<const std::string>(value.text)};
  return outcome;
}

std::vector<ValidationError> AcceptedValues::Parse(const std::string& key,
                                                   const std::string& text) {
  if (key == kTextKey) return Take(ParseText(text), &services_);
  if (key == kDeclarationsKey) return Take(ParseDeclarations(text), &out_);
  if (key == kInstancesKey) return Take(ParseInstances(text), &list_);
  const DataCentre data_centre = PartOfKey(key);
  Validated<InstanceList> part = ParseInstancesPart(text, data_centre);
  if (part.ok()) parts_[data_centre] = std::move(part.value.upstreams);
  return std::move(part.errors);
}

bool AcceptedValues::WasRejectedBefore(const std::string& key, Revision revision) const {
  const auto found = rejected_.find(key);
  return found != rejected_.end() && found->second.count(revision) > 0;
}

void AcceptedValues::RememberRejection(const std::string& key, Revision revision) {
  if (rejected_.size() >= kMostKeys && rejected_.count(key) == 0) return;
  std::set<Revision>& revisions = rejected_[key];
  revisions.insert(revision);
  if (revisions.size() > kRememberedRejections) revisions.erase(revisions.begin());
}

Revision AcceptedValues::RevisionOf(const std::string& key) const {
  const auto found = accepted_.find(key);
  return found == accepted_.end() ? Revision() : found->second.revision;
}

std::shared_ptr<const ConfigurationSnapshot> AcceptedValues::Snapshot(
    const ConfigurationSnapshot& previous) const {
  auto snapshot = std::make_shared<ConfigurationSnapshot>();
  std::string identity;
  for (const auto& [key, accepted] : accepted_) {
    snapshot->revision = std::max(snapshot->revision, accepted.revision);
    snapshot->key_revisions[key] = accepted.revision;
    identity += key + "=" + std::to_string(accepted.revision.value()) + "\n";
  }
  snapshot->digest = StableHash(identity);
  snapshot->text_revision = RevisionOf(kTextKey);
  snapshot->declarations_revision = RevisionOf(kDeclarationsKey);
  snapshot->instances_revision = RevisionOf(kInstancesKey);
  snapshot->parts = list_.parts;
  snapshot->services = services_;
  snapshot->out = out_;
  if (list_.divided) {
    AddDivided(previous, snapshot.get());
  } else {
    snapshot->upstreams = list_.upstreams;
  }
  return snapshot;
}

void AcceptedValues::AddDivided(const ConfigurationSnapshot& previous,
                                ConfigurationSnapshot* snapshot) const {
  std::unordered_set<std::string> ids;
  for (const DataCentre& name : list_.parts) {
    const auto part = parts_.find(name);
    if (part != parts_.end()) {
      Append(part->second, &ids, snapshot);
      snapshot->instances_revision =
          std::max(snapshot->instances_revision, RevisionOf(PartKey(name)));
      continue;
    }
    std::vector<UpstreamRecord> kept;
    for (const UpstreamRecord& upstream : previous.upstreams) {
      if (upstream.data_centre == name) kept.push_back(upstream);
    }
    Append(kept, &ids, snapshot);
  }
}

ConfigurationValues AcceptedValues::After(Revision after) const {
  ConfigurationValues values;
  for (const auto& [key, accepted] : accepted_) {
    if (accepted.revision > after) values[key] = {accepted.revision, *accepted.text};
  }
  return values;
}

}  // namespace primroseweir::detail
