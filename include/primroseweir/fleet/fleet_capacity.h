#ifndef PRIMROSEWEIR_FLEET_FLEET_CAPACITY_H_
#define PRIMROSEWEIR_FLEET_FLEET_CAPACITY_H_

#include <cstdint>

namespace primroseweir {

// Capacity of an instance's machine, and the load from callers that it carries.
struct FleetCapacity {
  // Processor capacity in thousandths of a core, and link capacity in kilobytes a second.
  std::uint32_t millicores = 0;
  std::uint32_t link_kilobytes_per_second = 0;
  // Calls and kilobytes of responses a second, averaged over about two seconds.
  std::uint32_t calls_per_second = 0;
  std::uint32_t kilobytes_per_second = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_CAPACITY_H_
