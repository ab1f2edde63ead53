#include "primroseweir/routing/upstream_lease.h"

#include <utility>

#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir {

UpstreamLease::UpstreamLease(LeaseTerms terms, std::shared_ptr<LeaseOwner> owner)
    : terms_(std::move(terms)), owner_(std::move(owner)) {}

UpstreamLease::UpstreamLease(std::shared_ptr<UpstreamState> state, Instant started)
    : terms_{std::move(state), started, 0, false, false} {}

UpstreamLease::~UpstreamLease() {
  if (terms_.state == nullptr) return;
  CallResult result;
  result.end = AttemptEnd::kCancelled;
  Finish(result, terms_.started);
}

UpstreamLease::UpstreamLease(UpstreamLease&& other) noexcept
    : terms_(std::move(other.terms_)), owner_(std::move(other.owner_)) {}

UpstreamLease& UpstreamLease::operator=(UpstreamLease&& other) noexcept {
  std::swap(terms_, other.terms_);
  std::swap(owner_, other.owner_);
  return *this;
}

const UpstreamRecord& UpstreamLease::record() const { return terms_.state->record(); }

void UpstreamLease::Finish(const CallResult& result, Instant now) {
  const LeaseTerms terms = std::move(terms_);
  terms_.state = nullptr;
  const std::shared_ptr<LeaseOwner> owner = std::move(owner_);
  if (owner != nullptr) {
    owner->Ended(terms, result, now);
  } else if (terms.probe) {
    terms.state->EndProbe(result, now);
  } else {
    terms.state->End(result, terms.started, now);
  }
}

}  // namespace primroseweir
