#include "primroseweir/routing/upstream_lease.h"

#include <utility>

#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir {

UpstreamLease::UpstreamLease(LeaseContext context, std::shared_ptr<LeaseOwner> owner)
    : context_(std::move(context)), owner_(std::move(owner)) {}

UpstreamLease::UpstreamLease(std::shared_ptr<UpstreamState> state, Instant started)
    : context_{std::move(state), started, 0, false, false} {}

UpstreamLease::~UpstreamLease() {
  if (context_.state == nullptr) return;
  CallResult result;
  result.outcome = AttemptEnd::kCancelled;
  Finish(result, context_.started);
}

UpstreamLease::UpstreamLease(UpstreamLease&& other) noexcept
    : context_(std::move(other.context_)), owner_(std::move(other.owner_)) {}

UpstreamLease& UpstreamLease::operator=(UpstreamLease&& other) noexcept {
  std::swap(context_, other.context_);
  std::swap(owner_, other.owner_);
  return *this;
}

const UpstreamRecord& UpstreamLease::record() const { return context_.state->record(); }

void UpstreamLease::Finish(const CallResult& result, Instant now) {
  const LeaseContext context = std::move(context_);
  context_.state = nullptr;
  const std::shared_ptr<LeaseOwner> owner = std::move(owner_);
  if (owner != nullptr) {
    owner->OnLeaseEnded(context, result, now);
  } else if (context.is_probe) {
    context.state->EndProbe(result, now);
  } else {
    context.state->End(result, context.started, now);
  }
}

}  // namespace primroseweir
