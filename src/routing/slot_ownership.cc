#include "primroseweir/routing/slot_ownership.h"

#include <algorithm>
#include <iterator>
#include <string>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {
namespace {

struct Slot {
  std::uint64_t sort_key;
  std::size_t upstream;
};

// Returns all slots in an order that is the same at every instance and that spreads the slots of
// one upstream.
std::vector<Slot> OrderedSlots(const std::vector<OwnableUpstream>& upstreams) {
  std::vector<Slot> slots;
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    for (std::uint32_t slot = 0; slot < upstreams[i].slots; ++slot) {
      slots.push_back({StableHash(upstreams[i].id.value(), slot), i});
    }
  }
  std::sort(slots.begin(), slots.end(),
            [](const Slot& a, const Slot& b) { return a.sort_key < b.sort_key; });
  return slots;
}

}  // namespace

std::vector<std::uint32_t> OwnedSlots(const std::vector<OwnableUpstream>& upstreams,
                                      const std::set<Seat>& live_seats, Seat own_seat) {
  std::vector<std::uint32_t> owned(upstreams.size(), 0);
  const auto position = live_seats.find(own_seat);
  if (position == live_seats.end()) return owned;
  const auto first = static_cast<std::size_t>(std::distance(live_seats.begin(), position));
  const std::vector<Slot> slots = OrderedSlots(upstreams);
  for (std::size_t i = first; i < slots.size(); i += live_seats.size()) ++owned[slots[i].upstream];
  return owned;
}

}  // namespace primroseweir
