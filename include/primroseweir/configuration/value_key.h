#ifndef PRIMROSEWEIR_CONFIGURATION_VALUE_KEY_H_
#define PRIMROSEWEIR_CONFIGURATION_VALUE_KEY_H_

#include <string>

#include "primroseweir/base/ids.h"

namespace primroseweir {

inline constexpr char kTextKey[] = "text";
inline constexpr char kDeclarationsKey[] = "declarations";
inline constexpr char kInstancesKey[] = "instances";

// Returns the key "instances/DC" of a data centre's part of the list.
std::string PartKey(const DataCentre& data_centre);

// Returns the data centre of a key "instances/DC"; empty for other keys and for invalid names.
DataCentre PartOfKey(const std::string& key);

// Returns whether `key` is one of the fixed keys or the key of a part.
bool IsKnownKey(const std::string& key);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_VALUE_KEY_H_
