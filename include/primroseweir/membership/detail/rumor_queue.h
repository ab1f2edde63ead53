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

// Changes that an instance passes on a limited number of times. With a limit that grows with the
// logarithm of the fleet a change reaches all members without being repeated for ever. Not safe for
// several threads.
template <typename Key, typename Value>
class RumorQueue {
 public:
  struct Rumor {
    Key key;
    Value value;
    Instant queued_at;
    std::uint64_t order = 0;
    std::size_t sent = 0;
  };

  // Notes a change. It replaces an older one of the same key; beyond kCapacity it is left out.
  void Put(const Key& key, Value value, Instant now) {
    if (rumors_.size() >= kCapacity && rumors_.count(key) == 0) return;
    rumors_[key] = {key, std::move(value), now, next_order_++, 0};
  }

  // All changes, the least often sent first and among them the newest. O(n log n).
  std::vector<const Rumor*> InOrder() const {
    std::vector<const Rumor*> order;
    for (const auto& [key, rumor] : rumors_) order.push_back(&rumor);
    std::sort(order.begin(), order.end(), [](const Rumor* a, const Rumor* b) {
      return a->sent != b->sent ? a->sent < b->sent : a->order > b->order;
    });
    return order;
  }

  // Notes that the change of `key` was sent, and drops it after `limit` times.
  void RecordSent(const Key& key, std::size_t limit) {
    const auto found = rumors_.find(key);
    if (found != rumors_.end() && ++found->second.sent >= limit) rumors_.erase(found);
  }

  std::size_t size() const { return rumors_.size(); }

  static constexpr std::size_t kCapacity = 16'384;

 private:
  std::map<Key, Rumor> rumors_;
  std::uint64_t next_order_ = 1;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_DETAIL_RUMOR_QUEUE_H_
