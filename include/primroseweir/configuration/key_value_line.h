#ifndef PRIMROSEWEIR_CONFIGURATION_KEY_VALUE_LINE_H_
#define PRIMROSEWEIR_CONFIGURATION_KEY_VALUE_LINE_H_

#include <string>
#include <utility>
#include <vector>

namespace primroseweir {

// Formats one line of `key=value` pairs. Values are quoted and escaped as by FormatEvent, so that a
// value can't forge a key or a second line.
std::string FormatKeyValueLine(const std::vector<std::pair<std::string, std::string>>& fields);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_KEY_VALUE_LINE_H_
