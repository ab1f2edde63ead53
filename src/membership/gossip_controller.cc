#include "primroseweir/membership/gossip_controller.h"

#include <utility>

#include "primroseweir/membership/detail/gossip_threads.h"

namespace primroseweir {

class GossipController::Implementation : public detail::GossipThreads {
 public:
  using detail::GossipThreads::GossipThreads;
};

GossipController::GossipController(GossipSettings settings, GossipHooks hooks, EventLog* events)
    : implementation_(
          std::make_unique<Implementation>(std::move(settings), std::move(hooks), events)) {}

GossipController::~GossipController() = default;

absl::Status GossipController::Start() { return implementation_->Start(); }

void GossipController::Stop() { implementation_->Stop(true); }

void GossipController::SendUrgent(UrgentItems items) {
  implementation_->SendUrgent(std::move(items));
}

void GossipController::DeclareLeaving() { implementation_->DeclareLeaving(); }

absl::StatusOr<Revision> GossipController::RefreshNow(Duration timeout) {
  return implementation_->RefreshNow(timeout);
}

std::shared_ptr<const MembershipView> GossipController::View() const {
  return implementation_->View();
}

SocketAddress GossipController::local_address() const { return implementation_->local_address(); }

GossipController::Traffic GossipController::traffic() const { return implementation_->traffic(); }

}  // namespace primroseweir
