#include "primroseweir/configuration/detail/accepted_values.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/base/rendezvous.h"
#include "primroseweir/configuration/declarations_parser.h"
#include "primroseweir/configuration/instances_parser.h"
#include "primroseweir/configuration/text_parser.h"
#include "primroseweir/configuration/value_key.h"
#include "primroseweir/customers/customer_table.h"

namespace primroseweir::detail {
namespace {

// Rejected revisions recorded for each key, so that a value that peers offer again is not validated
// and logged again.
constexpr std::size_t kMaxRejectionsPerKey = 16;
// Limits the memory that a faulty peer can make an instance use. The fixed keys are 3, and a list
// has at most 64 parts.
constexpr std::size_t kMaxKeys = 3 + 64;

template <typename T>
std::vector<ValidationError> StoreIfValid(Validated<T> validated, T* target) {
  if (validated.ok()) *target = std::move(validated.value);
  return std::move(validated.errors);
}

// Appends the upstreams whose id is not yet in the snapshot. While an upstream moves between data
// centres, two parts may list its id; all instances then use the part that comes first in the list.
void AppendNewUpstreams(const std::vector<UpstreamRecord>& upstreams,
                        std::unordered_set<std::string>* ids, ConfigurationSnapshot* snapshot) {
  for (const UpstreamRecord& upstream : upstreams) {
    if (ids->insert(upstream.id.value()).second) snapshot->upstreams.push_back(upstream);
  }
}

}  // namespace

AcceptedValues::OfferResult AcceptedValues::Offer(const std::string& key,
                                                  const ConfigurationValue& value) {
  OfferResult outcome;
  if (!IsKnownKey(key) || value.revision <= RevisionOf(key)) return outcome;
  if (accepted_.size() >= kMaxKeys && accepted_.count(key) == 0) return outcome;
  if (WasRejectedBefore(key, value.revision)) {
    outcome.kind = OfferResult::Kind::kRejectedBefore;
    return outcome;
  }
  outcome.errors = Parse(key, value.text);
  if (!outcome.errors.empty()) {
    outcome.kind = OfferResult::Kind::kRejected;
    RecordRejection(key, value.revision);
    return outcome;
  }
  outcome.kind = OfferResult::Kind::kAdopted;
  accepted_[key] = {value.revision, std::make_shared<const std::string>(value.text)};
  return outcome;
}

std::vector<ValidationError> AcceptedValues::Parse(const std::string& key,
                                                   const std::string& text) {
  if (key == kTextKey) return ParseOperatorsText(text);
  if (key == kDeclarationsKey) return StoreIfValid(ParseDeclarations(text), &data_centres_out_);
  if (key == kInstancesKey) return StoreIfValid(ParseInstances(text), &instance_list_);
  const DataCentre data_centre = PartOfKey(key);
  Validated<InstanceList> part = ParseInstancesPart(text, data_centre);
  if (part.ok()) parts_[data_centre] = std::move(part.value.upstreams);
  return std::move(part.errors);
}

std::vector<ValidationError> AcceptedValues::ParseOperatorsText(const std::string& text) {
  Validated<OperatorsText> parsed = ParseText(text);
  if (!parsed.ok()) return std::move(parsed.errors);
  std::shared_ptr<const CustomerTable> customers;
  if (parsed.value.customers) {
    auto created = CustomerTable::Create(std::move(*parsed.value.customers));
    if (!created.ok()) return {{1, "customers", MessageOf(created.status()), "valid customers"}};
    customers = std::move(*created);
  }
  services_ = std::move(parsed.value.services);
  customers_ = std::move(customers);
  return {};
}

bool AcceptedValues::WasRejectedBefore(const std::string& key, Revision revision) const {
  const auto found = rejected_.find(key);
  return found != rejected_.end() && found->second.count(revision) > 0;
}

void AcceptedValues::RecordRejection(const std::string& key, Revision revision) {
  if (rejected_.size() >= kMaxKeys && rejected_.count(key) == 0) return;
  std::set<Revision>& revisions = rejected_[key];
  revisions.insert(revision);
  if (revisions.size() > kMaxRejectionsPerKey) revisions.erase(revisions.begin());
}

Revision AcceptedValues::RevisionOf(const std::string& key) const {
  const auto found = accepted_.find(key);
  return found == accepted_.end() ? Revision() : found->second.revision;
}

std::shared_ptr<const ConfigurationSnapshot> AcceptedValues::Snapshot(
    const ConfigurationSnapshot& previous) const {
  auto snapshot = std::make_shared<ConfigurationSnapshot>();
  std::string digest_input;
  for (const auto& [key, accepted] : accepted_) {
    snapshot->revision = std::max(snapshot->revision, accepted.revision);
    snapshot->key_revisions[key] = accepted.revision;
    digest_input += key + "=" + std::to_string(accepted.revision.value()) + "\n";
  }
  snapshot->digest = StableHash(digest_input);
  snapshot->text_revision = RevisionOf(kTextKey);
  snapshot->declarations_revision = RevisionOf(kDeclarationsKey);
  snapshot->instances_revision = RevisionOf(kInstancesKey);
  snapshot->parts = instance_list_.parts;
  snapshot->services = services_;
  snapshot->customers = customers_;
  snapshot->data_centres_out = data_centres_out_;
  if (instance_list_.is_divided) {
    AddUpstreamsOfParts(previous, snapshot.get());
  } else {
    snapshot->upstreams = instance_list_.upstreams;
  }
  return snapshot;
}

void AcceptedValues::AddUpstreamsOfParts(const ConfigurationSnapshot& previous,
                                         ConfigurationSnapshot* snapshot) const {
  std::unordered_set<std::string> ids;
  for (const DataCentre& name : instance_list_.parts) {
    const auto part = parts_.find(name);
    if (part != parts_.end()) {
      AppendNewUpstreams(part->second, &ids, snapshot);
      snapshot->instances_revision =
          std::max(snapshot->instances_revision, RevisionOf(PartKey(name)));
      continue;
    }
    std::vector<UpstreamRecord> previous_upstreams;
    for (const UpstreamRecord& upstream : previous.upstreams) {
      if (upstream.data_centre == name) previous_upstreams.push_back(upstream);
    }
    AppendNewUpstreams(previous_upstreams, &ids, snapshot);
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
