#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_KEYED_VALUE_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_KEYED_VALUE_H_

#include <nlohmann/json.hpp>
#include <string>

namespace primroseweir::detail {

// Converts the arrays of services and upstreams to objects keyed by name and by id. A JSON Patch
// then matches entries by identity when some are added, removed or reordered.
nlohmann::json ToKeyed(nlohmann::json value);

// Converts a keyed value back to text, with services sorted by name and upstreams by id.
std::string FromKeyed(nlohmann::json keyed);

// Returns the hash of a text made by FromKeyed, as 16 hexadecimal digits.
std::string DigestOf(const std::string& text);

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_KEYED_VALUE_H_
