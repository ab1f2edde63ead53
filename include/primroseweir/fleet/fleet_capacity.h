#ifndef PRIMROSEWEIR_FLEET_FLEET_CAPACITY_H_
#define PRIMROSEWEIR_FLEET_FLEET_CAPACITY_H_

#include <cstdint>

namespace primroseweir {

// What an instance's machine can carry, and the callers' load that it carries.
struct FleetCapacity {
  // Thousandths of a core, and kilobytes a second on its link.
  std::uint32_t millicores = 0;
  std::uint32_t link_kilobytes = 0;
  // Calls and kilobytes of answers a second, averaged over about two seconds.
  std::uint32_t calls = 0;
  std::uint32_t kilobytes = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_CAPACITY_H_
