#ifndef BENCH_CHOICE_EVENT_QUEUE_H_
#define BENCH_CHOICE_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "primroseweir/base/time.h"

namespace primroseweir::bench {

// Runs actions in the order of their times. Actions with equal times run in the order in which they
// were scheduled.
class EventQueue {
 public:
  using Action = std::function<void(Instant)>;

  void ScheduleAt(Instant time, Action action) {
    events_.push(Event{time, next_sequence_++, std::move(action)});
  }

  void RunUntil(Instant end) {
    while (!events_.empty() && events_.top().time <= end) {
      // top() is const only to protect the heap order. Moving from it is safe, since the event is
      // popped at once.
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      event.action(event.time);
    }
  }

 private:
  struct Event {
    Instant time;
    std::uint64_t sequence;
    Action action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  std::priority_queue<Event> events_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_EVENT_QUEUE_H_
