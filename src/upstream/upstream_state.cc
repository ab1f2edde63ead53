#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir {

UpstreamState::UpstreamState(const UpstreamRecord& record, Instant now) : record_(record) {}

bool UpstreamState::TryStart(std::uint32_t limit) {
  std::uint32_t present = in_flight_.load(std::memory_order_relaxed);
  while (present < limit) {
    if (in_flight_.compare_exchange_weak(present, present + 1, std::memory_order_acq_rel)) {
      return true;
    }
  }
  return false;
}

bool UpstreamState::leaving() const {
  return record_.state == ListedState::kLeaving || leaving_.load(std::memory_order_acquire);
}

}  // namespace primroseweir
