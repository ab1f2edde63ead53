#ifndef PRIMROSEWEIR_BALANCE_RETURN_SCHEDULE_H_
#define PRIMROSEWEIR_BALANCE_RETURN_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Decides when callers that were refused for lack of room in one service should return.
//
// Load pattern: a burst that lasts for seconds. Callers that all return after a short random time
// meet the burst again, and most callers return only once or twice. The returns are instead spread
// over the time in which calls get room here, each at a place of its own, urgent ones before
// others.
class ReturnSchedule {
 public:
  // Records that a call got room, which shows how often room appears.
  void RecordRoom(Instant now);

  // Returns the time after which a refused call of that priority (0 is the most urgent) should
  // return, at most `latest`. `draw` is uniform in [0, 1). Without a place before `latest`, the
  // call returns in the second half of that time. `call` identifies the request and its caller:
  // one that comes back early keeps its time, so that it takes no second place before others.
  Duration RetryAfter(std::uint64_t call, std::uint32_t priority, Duration latest, double draw,
                      Instant now);

  std::size_t booking_count() const { return bookings_.size(); }

  // Time constant of the rate at which room appears.
  static constexpr Duration kRateMemory = std::chrono::milliseconds(1000);
  // Calls that are remembered until they should return; further ones may take a second place.
  static constexpr std::size_t kMaxBookings = 2048;
  // Shortest time after which a call returns.
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
  // Least time between two searches for bookings whose time has come. One search a refusal would be
  // linear in the bookings while these are many.
  static constexpr Duration kSweepInterval = kMinRetryAfter;

 private:
  struct Booking {
    std::uint32_t priority = 0;
    Instant returns_at;
  };

  // Remembers the booking of a call, and forgets those whose time has come when there are many.
  void Remember(std::uint64_t call, const Booking& booking, Instant now);

  // Number of calls that got room, decayed to the time updated_at_.
  double calls_with_room_ = 0;
  Instant updated_at_;
  // By priority: the first time without a booked return of that priority or a more urgent one.
  std::map<std::uint32_t, Instant> next_returns_;
  std::map<std::uint64_t, Booking> bookings_;
  Instant next_sweep_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_RETURN_SCHEDULE_H_
