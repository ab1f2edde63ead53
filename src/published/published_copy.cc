#include "primroseweir/published/published_copy.h"

#include <chrono>
#include <exception>
#include <nlohmann/json.hpp>

#include "primroseweir/base/error.h"

namespace primroseweir {

std::string EncodePublishedCopy(const PublishedCopy& copy) {
  auto items = nlohmann::json::array();
  for (const auto& item : copy.items) {
    items.push_back({item.key, item.value, item.revision.value()});
  }
  auto withdrawn = nlohmann::json::array();
  for (const auto& item : copy.withdrawn) {
    withdrawn.push_back({item.key, item.revision.value(), ToMilliseconds(item.keep)});
  }
  const nlohmann::json json = {{"after", copy.after.value()},
                               {"at", copy.at.value()},
                               {"items", std::move(items)},
                               {"withdrawn", std::move(withdrawn)}};
  // Values of other writers may hold bytes that are not UTF-8; no reader accepts those anyway.
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<PublishedCopy> DecodePublishedCopy(const std::string& text) {
  try {
    const auto json = nlohmann::json::parse(text);
    PublishedCopy copy;
    copy.after = Revision(json.at("after").get<std::uint64_t>());
    copy.at = Revision(json.at("at").get<std::uint64_t>());
    for (const auto& item : json.at("items")) {
      copy.items.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>(),
                            Revision(item.at(2).get<std::uint64_t>())});
    }
    for (const auto& item : json.at("withdrawn")) {
      copy.withdrawn.push_back({item.at(0).get<std::string>(),
                                Revision(item.at(1).get<std::uint64_t>()),
                                std::chrono::milliseconds(item.at(2).get<std::int64_t>())});
    }
    return copy;
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument, {"peer copy", ""}, error.what());
  }
}

}  // namespace primroseweir
