#ifndef PRIMROSEWEIR_CONFIGURATION_CUSTOMER_PRIORITY_H_
#define PRIMROSEWEIR_CONFIGURATION_CUSTOMER_PRIORITY_H_

#include <cstdint>

namespace primroseweir {

// Values of Customer::priority of a customer in the operators' text.
inline constexpr std::uint32_t kNormalCustomerPriority = 0;
inline constexpr std::uint32_t kRefreshableCustomerPriority = 1;

// Returns the value of `priority` in the operators' text.
inline const char* NameOfCustomerPriority(std::uint32_t priority) {
  return priority == kNormalCustomerPriority ? "normal" : "refreshable";
}

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_CUSTOMER_PRIORITY_H_
