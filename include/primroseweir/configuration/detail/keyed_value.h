#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_KEYED_VALUE_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_KEYED_VALUE_H_

#include <nlohmann/json.hpp>
#include <string>

namespace primroseweir::detail {

// The value with its services by name and its upstreams by id, so that JSON Patch compares like
// with like when entries are added, removed or reordered.
nlohmann::json ToKeyed(nlohmann::json value);

// The text of a keyed value: services and upstreams in the order of their names.
std::string FromKeyed(nlohmann::json keyed);

// Identifies a text of FromKeyed: 16 hexadecimal digits.
std::string DigestOf(const std::string& text);

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_KEYED_VALUE_H_
