#include "primroseweir/configuration/configuration_patches.h"

#include <algorithm>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/base/json_error.h"
#include "primroseweir/configuration/detail/keyed_value.h"
#include "primroseweir/configuration/value_key.h"

namespace primroseweir {
namespace {

using detail::DigestOf;
using detail::FromKeyed;
using detail::ToKeyed;
using nlohmann::json;

// Maximum size of a key's patches as a fraction of its value. Larger patches save too little to be
// worth the risk of a mismatch.
constexpr double kMaxPatchFraction = 0.5;

absl::Status PatchError(absl::StatusCode code, const std::string& key, const std::string& message) {
  return MakeError(code, {"apply patches", ""}, key + ": " + message);
}

// Returns whether the patch has only the operations that json::diff() emits. With `copy`, a short
// patch could build a value of any size.
bool HasOnlyAllowedOperations(const json& patch) {
  if (!patch.is_array()) return false;
  return std::all_of(patch.begin(), patch.end(), [](const json& operation) {
    const std::string& name = operation.at("op").get_ref<const std::string&>();
    return name == "add" || name == "remove" || name == "replace";
  });
}

// A value in keyed form to which patches are being applied.
struct PatchedValue {
  Revision revision;
  json keyed;
};

absl::Status ApplyDelta(const json& delta, const ConfigurationValues& base,
                        std::map<std::string, PatchedValue>* patched) {
  const std::string key = delta.at("key").get<std::string>();
  auto found = patched->find(key);
  if (found == patched->end()) {
    const auto value = base.find(key);
    if (value == base.end()) {
      return PatchError(absl::StatusCode::kFailedPrecondition, key,
                        "the patch has no base value to apply to");
    }
    PatchedValue start{value->second.revision, ToKeyed(json::parse(value->second.text))};
    found = patched->emplace(key, std::move(start)).first;
  }
  PatchedValue& target = found->second;
  if (target.revision.value() != delta.at("from").get<std::uint64_t>()) {
    return PatchError(absl::StatusCode::kFailedPrecondition, key,
                      "the base value has another revision than the patch starts from");
  }
  const json& patch = delta.at("patch");
  if (!HasOnlyAllowedOperations(patch)) {
    return PatchError(absl::StatusCode::kInvalidArgument, key,
                      "the patch has an operation other than add, "
                      "remove or replace");
  }
  target.keyed = target.keyed.patch(patch);
  target.revision = Revision(delta.at("to").get<std::uint64_t>());
  return absl::OkStatus();
}

absl::StatusOr<ConfigurationValues> ApplyAll(const json& response,
                                             const ConfigurationValues& base) {
  ConfigurationValues result;
  for (const json& value : response.at("values")) {
    result[value.at("key").get<std::string>()] = {
        Revision(value.at("revision").get<std::uint64_t>()), value.at("text").get<std::string>()};
  }
  std::map<std::string, PatchedValue> patched;
  std::map<std::string, std::string> digests;
  for (const json& delta : response.at("patches")) {
    const absl::Status status = ApplyDelta(delta, base, &patched);
    if (!status.ok()) return status;
    digests[delta.at("key").get<std::string>()] = delta.at("digest").get<std::string>();
  }
  for (auto& [key, value] : patched) {
    std::string text = FromKeyed(std::move(value.keyed));
    if (DigestOf(text) != digests[key]) {
      return PatchError(absl::StatusCode::kDataLoss, key,
                        "the patched value does not match its digest");
    }
    result[key] = {value.revision, std::move(text)};
  }
  return result;
}

}  // namespace

void ConfigurationPatches::Record(const ConfigurationValues& accepted) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [name, value] : accepted) {
    KeyState& key = keys_[name];
    if (value.revision <= key.revision) continue;
    json keyed = ToKeyed(json::parse(value.text));
    if (key.revision != Revision()) {
      Delta delta{key.revision, value.revision, DigestOf(FromKeyed(keyed)),
                  json::diff(key.keyed, keyed), 0};
      delta.bytes = delta.patch.dump().size();
      key.deltas.push_back(std::move(delta));
      if (key.deltas.size() > kMaxDeltasPerKey) key.deltas.pop_front();
    }
    key.revision = value.revision;
    key.text = value.text;
    key.keyed = std::move(keyed);
  }
}

json ConfigurationPatches::MakeResponse(Revision after) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  json response = {{"revision", 0}, {"patches", json::array()}, {"values", json::array()}};
  Revision highest;
  for (const auto& [name, key] : keys_) {
    highest = std::max(highest, key.revision);
    if (key.revision > after) AddKey(name, key, after, &response);
  }
  response["revision"] = highest.value();
  return response;
}

void ConfigurationPatches::AddKey(const std::string& name, const KeyState& key, Revision after,
                                  json* response) {
  const auto first = std::find_if(key.deltas.begin(), key.deltas.end(),
                                  [after](const Delta& delta) { return delta.to > after; });
  std::size_t bytes = 0;
  for (auto delta = first; delta != key.deltas.end(); ++delta) bytes += delta->bytes;
  const bool is_covered = first != key.deltas.end() && first->from <= after;
  const bool is_small =
      static_cast<double>(bytes) < kMaxPatchFraction * static_cast<double>(key.text.size());
  if (!is_covered || !is_small) {
    (*response)["values"].push_back(
        {{"key", name}, {"revision", key.revision.value()}, {"text", key.text}});
    return;
  }
  for (auto delta = first; delta != key.deltas.end(); ++delta) {
    (*response)["patches"].push_back({{"key", name},
                                      {"from", delta->from.value()},
                                      {"to", delta->to.value()},
                                      {"digest", delta->digest},
                                      {"patch", delta->patch}});
  }
}

absl::StatusOr<ConfigurationValues> ConfigurationPatches::Apply(const json& response,
                                                                const ConfigurationValues& base) {
  try {
    return ApplyAll(response, base);
  } catch (const json::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument, {"apply patches", ""},
                     JsonErrorReason(error));
  }
}

}  // namespace primroseweir
