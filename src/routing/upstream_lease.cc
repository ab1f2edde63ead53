#include "primroseweir/routing/upstream_lease.h"

#include <utility>

#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir {

UpstreamLease::UpstreamLease(std::shared_ptr<UpstreamState> state, Instant started)
    : state_(std::move(state)), started_(started) {}

UpstreamLease::~UpstreamLease() {
  if (state_ == nullptr) return;
  CallResult result;
  result.end = AttemptEnd::kCancelled;
  Finish(result, started_);
}

UpstreamLease::UpstreamLease(UpstreamLease&& other) noexcept
    : state_(std::move(other.state_)), started_(other.started_) {}

UpstreamLease& UpstreamLease::operator=(UpstreamLease&& other) noexcept {
  std::swap(state_, other.state_);
  std::swap(started_, other.started_);
  return *this;
}

const UpstreamRecord& UpstreamLease::record() const { return state_->record(); }

void UpstreamLease::Finish(const CallResult& result, Instant now) {
  const std::shared_ptr<UpstreamState> state = std::move(state_);
  state_ = nullptr;
  if (result.leaving) state->MarkLeaving();
  state->End();
}

}  // namespace primroseweir
