#include "primroseweir/configuration/detail/keyed_value.h"

#include <cstdio>
#include <utility>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir::detail {
namespace {

using nlohmann::json;

// An array of a value and the field that identifies its entries.
struct KeyedList {
  const char* list;
  const char* identifier;
};

constexpr KeyedList kKeyedLists[] = {{"services", "name"}, {"upstreams", "id"}};

}  // namespace

json ToKeyed(json value) {
  for (const KeyedList& keyed_list : kKeyedLists) {
    const auto list = value.find(keyed_list.list);
    if (list == value.end() || !list->is_array()) continue;
    json keyed = json::object();
    for (json& entry : *list) {
      std::string identifier = entry.at(keyed_list.identifier).get<std::string>();
      keyed[std::move(identifier)] = std::move(entry);
    }
    *list = std::move(keyed);
  }
  return value;
}

std::string FromKeyed(json keyed) {
  for (const KeyedList& keyed_list : kKeyedLists) {
    const auto list = keyed.find(keyed_list.list);
    if (list == keyed.end() || !list->is_object()) continue;
    json entries = json::array();
    for (auto& [identifier, entry] : list->items()) entries.push_back(std::move(entry));
    *list = std::move(entries);
  }
  return keyed.dump();
}

std::string DigestOf(const std::string& text) {
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%016llx",
                static_cast<unsigned long long>(StableHash(text)));  // NOLINT(google-runtime-int)
  return digits;
}

}  // namespace primroseweir::detail
