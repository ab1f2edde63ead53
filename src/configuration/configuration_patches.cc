#include "primroseweir/configuration/configuration_patches.h"

#include <algorithm>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/configuration/detail/keyed_value.h"
#include "primroseweir/configuration/value_key.h"

namespace primroseweir {
namespace {

using detail::DigestOf;
using detail::FromKeyed;
using detail::ToKeyed;
using nlohmann::json;

// A list of patches above this share of the value is not worth its risk of a mismatch.
constexpr double kLargestShare = 0.5;

absl::Status Failed(absl::StatusCode code, const std::string& key, const std::string& message) {
  return MakeError(code, {"apply patches", ""}, key + ": " + message);
}

// diff() makes only these. `copy` would let a short patch make a value of any size.
bool HasOnlyPlainOperations(const json& patch) {
  if (!patch.is_array()) return false;
  return std::all_of(patch.begin(), patch.end(), [](const json& operation) {
    const std::string& name = operation.at("op").get_ref<const std::string&>();
    return name == "add" || name == "remove" || name == "replace";
  });
}

// A value while patches are applied to it.
struct Patched {
  Revision revision;
  json keyed;
};

absl::Status ApplyOne(const json& step, const ConfigurationValues& base,
                      std::map<std::string, Patched>* patched) {
  const std::string key = step.at("key").get<std::string>();
  auto found = patched->find(key);
  if (found == patched->end()) {
    const auto value = base.find(key);
    if (value == base.end()) {
      return Failed(absl::StatusCode::kFailedPrecondition, key, "no value to start from");
    }
    Patched start{value->second.revision, ToKeyed(json::parse(value->second.text))};
    found = patched->emplace(key, std::move(start)).first;
  }
  Patched& target = found->second;
  if (target.revision.value() != step.at("from").get<std::uint64_t>()) {
    return Failed(absl::StatusCode::kFailedPrecondition, key, "another revision to start from");
  }
  const json& patch = step.at("patch");
  if (!HasOnlyPlainOperations(patch)) {
    return Failed(absl::StatusCode::kInvalidArgument, key,
                  "an operation other than add, remove "
                  "or replace");
  }
  target.keyed = target.keyed.patch(patch);
  target.revision = Revision(step.at("to").get<std::uint64_t>());
  return absl::OkStatus();
}

absl::StatusOr<ConfigurationValues> ApplyAll(const json& response,
                                             const ConfigurationValues& base) {
  ConfigurationValues result;
  for (const json& value : response.at("values")) {
    result[value.at("key").get<std::string>()] = {
        Revision(value.at("revision").get<std::uint64_t>()), value.at("text").get<std::string>()};
  }
  std::map<std::string, Patched> patched;
  std::map<std::string, std::string> digests;
  for (const json& step : response.at("patches")) {
    const absl::Status status = ApplyOne(step, base, &patched);
    if (!status.ok()) return status;
    digests[step.at("key").get<std::string>()] = step.at("digest").get<std::string>();
  }
  for (auto& [key, value] : patched) {
    std::string text = FromKeyed(std::move(value.keyed));
    if (DigestOf(text) != digests[key]) {
      return Failed(absl::StatusCode::kDataLoss, key, "the result differs from its digest");
    }
    result[key] = {value.revision, std::move(text)};
  }
  return result;
}

}  // namespace

void ConfigurationPatches::Record(const ConfigurationValues& accepted) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [name, value] : accepted) {
    Key& key = keys_[name];
    if (value.revision <= key.revision) continue;
    json keyed = ToKeyed(json::parse(value.text));
    if (key.revision != Revision()) {
      Step step{key.revision, value.revision, DigestOf(FromKeyed(keyed)),
                json::diff(key.keyed, keyed), 0};
      step.bytes = step.patch.dump().size();
      key.steps.push_back(std::move(step));
      if (key.steps.size() > kHistory) key.steps.pop_front();
    }
    key.revision = value.revision;
    key.text = value.text;
    key.keyed = std::move(keyed);
  }
}

json ConfigurationPatches::Respond(Revision after) const {
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

void ConfigurationPatches::AddKey(const std::string& name, const Key& key, Revision after,
                                  json* response) {
  const auto first = std::find_if(key.steps.begin(), key.steps.end(),
                                  [after](const Step& step) { return step.to > after; });
  std::size_t bytes = 0;
  for (auto step = first; step != key.steps.end(); ++step) bytes += step->bytes;
  const bool reaches = first != key.steps.end() && first->from <= after;
  const bool small =
      static_cast<double>(bytes) < kLargestShare * static_cast<double>(key.text.size());
  if (!reaches || !small) {
    (*response)["values"].push_back(
        {{"key", name}, {"revision", key.revision.value()}, {"text", key.text}});
    return;
  }
  for (auto step = first; step != key.steps.end(); ++step) {
    (*response)["patches"].push_back({{"key", name},
                                      {"from", step->from.value()},
                                      {"to", step->to.value()},
                                      {"digest", step->digest},
                                      {"patch", step->patch}});
  }
}

absl::StatusOr<ConfigurationValues> ConfigurationPatches::Apply(const json& response,
                                                                const ConfigurationValues& base) {
  try {
    return ApplyAll(response, base);
  } catch (const json::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument, {"apply patches", ""}, error.what());
  }
}

}  // namespace primroseweir
