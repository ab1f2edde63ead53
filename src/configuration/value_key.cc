#include "primroseweir/configuration/value_key.h"

#include "primroseweir/configuration/value_limits.h"

namespace primroseweir {
namespace {

constexpr char kPartPrefix[] = "instances/";
constexpr char kNameCharacters[] = "abcdefghijklmnopqrstuvwxyz0123456789-";

}  // namespace

std::string PartKey(const DataCentre& data_centre) { return kPartPrefix + data_centre.value(); }

DataCentre PartOfKey(const std::string& key) {
  const std::size_t prefix_length = sizeof(kPartPrefix) - 1;
  if (key.compare(0, prefix_length, kPartPrefix) != 0) return DataCentre();
  const std::string name = key.substr(prefix_length);
  const bool is_valid =
      name.size() <= kMaxNameLength && name.find_first_not_of(kNameCharacters) == std::string::npos;
  return is_valid ? DataCentre(name) : DataCentre();
}

bool IsKnownKey(const std::string& key) {
  return key == kTextKey || key == kDeclarationsKey || key == kInstancesKey ||
         !PartOfKey(key).empty();
}

}  // namespace primroseweir
