#ifndef PRIMROSEWEIR_MEMBERSHIP_DETAIL_RUMOR_QUEUE_H_
#define PRIMROSEWEIR_MEMBERSHIP_DETAIL_RUMOR_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "primroseweir/base/time.h"

namespace primroseweir {
namespace detail {

// Queue of changes that an instance forwards a limited number of times (rumour mongering). With a
// limit that grows with the logarithm of the fleet size, a change reaches all members without being
// repeated indefinitely. Not thread-safe.
template <typename Key, typename Value>
class RumorQueue {
 public:
  struct Rumor {
    Key key;
    Value value;
    Instant queued_at;
    std::uint64_t sequence = 0;
    std::size_t times_sent = 0;
  };

  // Queues a change and replaces an older one of the same key. Drops a change with a new key when
  // the queue already holds kCapacity changes.
  void Put(const Key& key, Value value, Instant now) {
    if (rumors_.size() >= kCapacity && rumors_.count(key) == 0) return;
    rumors_[key] = {key, std::move(value), now, next_sequence_++, 0};
  }

  // Returns all changes, the least often sent first and the newest first among equals.
  // O(n log n).
  std::vector<const Rumor*> InSendOrder() const {
    std::vector<const Rumor*> sorted;
    for (const auto& [key, rumor] : rumors_) sorted.push_back(&rumor);
    std::sort(sorted.begin(), sorted.end(), [](const Rumor* a, const Rumor* b) {
      return a->times_sent != b->times_sent ? a->times_sent < b->times_sent
                                            : a->sequence > b->sequence;
    });
    return sorted;
  }

  // Records one sending of the change of `key` and removes it after `limit` sendings.
  void RecordSent(const Key& key, std::size_t limit) {
    const auto found = rumors_.find(key);
    if (found != rumors_.end() && ++found->second.times_sent >= limit) rumors_.erase(found);
  }

  std::size_t size() const { return rumors_.size(); }

  static constexpr std::size_t kCapacity = 16'384;

 private:
  std::map<Key, Rumor> rumors_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_DETAIL_RUMOR_QUEUE_H_
