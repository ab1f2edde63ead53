#ifndef PRIMROSEWEIR_CONFIGURATION_VALUE_LIMITS_H_
#define PRIMROSEWEIR_CONFIGURATION_VALUE_LIMITS_H_

#include <cstddef>

namespace primroseweir {

// Largest value that the configuration service holds, in bytes.
inline constexpr std::size_t kMaxValueBytes = 1 << 20;
// Services on the longest chain of dependencies; a caller's call is the first of 8 nested calls.
inline constexpr std::size_t kMaxChainLength = 8;
// Verdicts reported for one value; a text of another format would otherwise give one a field.
inline constexpr std::size_t kMaxValidationErrors = 20;
inline constexpr std::size_t kMaxNameLength = 63;

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_VALUE_LIMITS_H_
