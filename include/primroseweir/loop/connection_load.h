#ifndef PRIMROSEWEIR_LOOP_CONNECTION_LOAD_H_
#define PRIMROSEWEIR_LOOP_CONNECTION_LOAD_H_

#include <cstdint>

#include "primroseweir/base/time.h"

namespace primroseweir {

// What a caller's connection makes this process hold, and how fast the caller makes progress.
struct ConnectionLoad {
  std::uint64_t held_bytes = 0;
  // Bytes received from the caller or accepted by it, over the last second or so.
  double bytes_per_second = 0;
  // Time since the last such byte.
  Duration stalled_for{};
  // IPv4 address of the caller.
  std::uint32_t address = 0;
  // Whether the next step is the caller's: to send the rest of a request or to read a response.
  // While an upstream works on a request, the caller is not at fault.
  bool waits_for_caller = false;
  // Whether an earlier request on the connection was responded to.
  bool has_been_served = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_CONNECTION_LOAD_H_
