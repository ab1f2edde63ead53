#ifndef PRIMROSEWEIR_CONFIGURATION_VALUE_KEY_H_
#define PRIMROSEWEIR_CONFIGURATION_VALUE_KEY_H_

#include <string>

#include "primroseweir/base/ids.h"

namespace primroseweir {

inline constexpr char kTextKey[] = "text";
inline constexpr char kDeclarationsKey[] = "declarations";
inline constexpr char kInstancesKey[] = "instances";

// "instances/DC".
std::string PartKey(const DataCentre& data_centre);

// The data centre of "instances/DC"; empty for every other key and for a bad name.
DataCentre PartOfKey(const std::string& key);

// Whether the system uses the key at all.
bool IsKnownKey(const std::string& key);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_VALUE_KEY_H_
