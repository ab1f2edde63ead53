#ifndef PRIMROSEWEIR_BALANCE_PRIORITY_ADMISSION_H_
#define PRIMROSEWEIR_BALANCE_PRIORITY_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Decides which calls of one service are refused at once while the service is short of room, so
// that the less urgent ones leave it to the more urgent ones.
//
// Load pattern: calls of several priorities that exceed the room of their service for seconds. The
// queue of one instance holds a few calls; the slot that an urgent call waits for is taken by a
// less urgent one at another instance. Each instance derives the same kind of decision from what
// its own calls find, and all instances together make room.
class PriorityAdmission {
 public:
  // Records that a call of that priority arrived. 0 is the most urgent one.
  void RecordArrival(std::uint32_t priority, Instant now);
  // Records whether an admitted call got room, at once or after waiting.
  void RecordPlacement(bool found_room, Instant now);

  // Returns the shortage from 0 (none) to 1: the share of recent calls without room, from
  // kMinShortShare to kMaxShortShare. It falls to 0 without new records, so that an instance that
  // is cut off from its callers or restarted serves.
  double Shortage(Instant now) const;

  // Returns whether a call of that priority is refused. The least urgent priority that arrived
  // within kPriorityMemory pays first, up to kMaxRefusedShare of its calls, then the next one.
  // Calls of the most urgent priority are not refused. `draw` is uniform in [0, 1).
  bool ShouldRefuse(std::uint32_t priority, double draw, Instant now) const;

  // Returns whether the service has become short of room since the last call (true) or has room
  // again (false); no value if neither.
  std::optional<bool> TakeChange(Instant now);

  // Time constant of the counts: the shortage follows a burst within a few hundred milliseconds.
  static constexpr Duration kDecayTime = std::chrono::milliseconds(300);
  static constexpr Duration kPriorityMemory = std::chrono::seconds(2);
  // A few calls without room are no shortage; when every second call gets none, callers of all
  // priorities lose.
  static constexpr double kMinShortShare = 0.1;
  static constexpr double kMaxShortShare = 0.5;
  // At least a quarter of the calls of each priority is served.
  static constexpr double kMaxRefusedShare = 0.75;
  // Calls with room that are assumed in addition, so that a single call shows no shortage.
  static constexpr double kAssumedCalls = 5;

 private:
  std::map<std::uint32_t, Instant> last_arrivals_;
  // Decayed numbers of calls at the time updated_at_.
  double calls_ = 0;
  double calls_without_room_ = 0;
  Instant updated_at_;
  bool is_short_ = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_PRIORITY_ADMISSION_H_
