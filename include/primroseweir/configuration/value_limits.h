#ifndef PRIMROSEWEIR_CONFIGURATION_VALUE_LIMITS_H_
#define PRIMROSEWEIR_CONFIGURATION_VALUE_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace primroseweir {

// Size of the largest value that the configuration service stores.
inline constexpr std::size_t kMaxValueBytes = 1 << 20;
// Services on the longest chain of dependencies. A caller's call is the first of up to 8 nested
// calls.
inline constexpr std::size_t kMaxChainLength = 8;
// Errors reported for one value. Without a bound, a text in another format would give one error for
// each field.
inline constexpr std::size_t kMaxValidationErrors = 20;
inline constexpr std::size_t kMaxNameLength = 63;
// Bytes of a customer's key. Longer ones would fill the head of a request, which is limited.
inline constexpr std::size_t kMaxKeyBytes = 256;
// Rate and burst of a customer's quota, in calls. Five times the calls of the whole target size.
inline constexpr std::uint64_t kMaxCustomerRate = 10'000'000;

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_VALUE_LIMITS_H_
