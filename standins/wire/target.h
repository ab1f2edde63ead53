#ifndef STANDINS_WIRE_TARGET_H_
#define STANDINS_WIRE_TARGET_H_

#include <cstdint>
#include <string>

namespace primroseweir::standins {

// Returns the part of a request target before '?'.
std::string PathOf(const std::string& target);

// Returns the value of `name` in the query of `target`; "" when absent. Percent escapes are not
// decoded.
std::string ValueInQuery(const std::string& target, const std::string& name);

// Returns the number at the start of the value of `name` in the query; 0 when there is none.
std::uint64_t NumberInQuery(const std::string& target, const std::string& name);

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_TARGET_H_
