#ifndef STANDINS_WIRE_TARGET_H_
#define STANDINS_WIRE_TARGET_H_

#include <cstdint>
#include <string>

namespace primroseweir::standins {

// The part of a request's target before '?'.
std::string PathOf(const std::string& target);

// Value of `name` in the target's query; "" when absent. Escapes are not decoded.
std::string ValueInQuery(const std::string& target, const std::string& name);

// As above, as a number; 0 when absent or no number.
std::uint64_t NumberInQuery(const std::string& target, const std::string& name);

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_TARGET_H_
