#ifndef BENCH_CHOICE_EVENT_QUEUE_H_
#define BENCH_CHOICE_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "primroseweir/base/time.h"

namespace primroseweir::bench {

// Runs actions in the order of their times; equal times run in the order of scheduling.
class EventQueue {
 public:
  using Action = std::function<void(Instant)>;

  void At(Instant time, Action action) {
    events_.push(Entry{time, next_sequence_++, std::move(action)});
  }

  void RunUntil(Instant end) {
    while (!events_.empty() && events_.top().time <= end) {
      // The queue's top is constant only to protect its order; the entry leaves the queue here.
      Entry entry = std::move(const_cast<Entry&>(events_.top()));
      events_.pop();
      entry.action(entry.time);
    }
  }

 private:
  struct Entry {
    Instant time;
    std::uint64_t sequence;
    Action action;
    bool operator<(const Entry& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  std::priority_queue<Entry> events_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_EVENT_QUEUE_H_
