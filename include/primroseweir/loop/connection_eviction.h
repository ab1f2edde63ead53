#ifndef PRIMROSEWEIR_LOOP_CONNECTION_EVICTION_H_
#define PRIMROSEWEIR_LOOP_CONNECTION_EVICTION_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "primroseweir/loop/connection_load.h"

namespace primroseweir {

// Decides which connections to close when memory or connections run short: those that hold most and
// progress least. A connection's score is
//
//   held bytes x (time since the last progress + held bytes / pace) x (1 + share of its address)
//
// in byte seconds, that is the memory that it is expected to occupy and for how long. The share is
// that of the caller's address in all held bytes. A connection that was never served counts
// kUnservedFactor times. Connections that wait for an upstream are never chosen, and for the sake
// of memory none that holds less than half of the mean.
class ConnectionEviction {
 public:
  // Returns indexes of `loads`, worst first, until the chosen ones hold `bytes` and are as many as
  // `connections`. Returns fewer if there are not enough that may be chosen. n log n.
  static std::vector<std::size_t> Choose(const std::vector<ConnectionLoad>& loads,
                                         std::uint64_t bytes, std::size_t connections);

  // `address_share` is between 0 and 1.
  static double Score(const ConnectionLoad& load, double address_share);

  // Pace in bytes a second below which a caller counts as stopped: a byte at a time, or a dead
  // link.
  static constexpr double kMinPace = 256;
  // Callers open a connection with a request in hand, while a silent connection may never have one.
  static constexpr double kUnservedFactor = 8;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_CONNECTION_EVICTION_H_
