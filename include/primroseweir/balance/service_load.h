#ifndef PRIMROSEWEIR_BALANCE_SERVICE_LOAD_H_
#define PRIMROSEWEIR_BALANCE_SERVICE_LOAD_H_

#include <cstdint>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Learns how long the calls of one service take at free and at nearly full upstreams.
//
// Load pattern: upstreams that slow down as a whole when nearly full. Beyond that knee a further
// call lowers the throughput of the upstream, so that it is better to let the call wait.
class ServiceLoad {
 public:
  // An answer arrived `took` after the call was sent to an upstream with `slots`, where it made
  // `occupancy` calls.
  void NoteAnswer(Duration took, double occupancy, std::uint32_t slots);

  // Usual time to answer at an upstream that is not nearly full.
  Duration usual() const { return usual_; }

  // Calls that an upstream with `slots` should have at a time: all its slots, or only those below
  // the knee when the rest lowers the throughput.
  std::uint32_t Limit(std::uint32_t slots) const;

  // Part of the slots below the knee.
  static constexpr double kKnee = 0.8;
  // Assumed before the first answer.
  static constexpr Duration kInitialUsual = std::chrono::milliseconds(100);

 private:
  Duration usual_ = kInitialUsual;
  // Running averages in seconds below and above the knee, and how many answers went in.
  double below_ = 0;
  double above_ = 0;
  std::uint32_t below_count_ = 0;
  std::uint32_t above_count_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_SERVICE_LOAD_H_
