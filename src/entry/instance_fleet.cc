#include "primroseweir/entry/instance_fleet.h"

#include <algorithm>
#include <tuple>

#include "primroseweir/base/rendezvous.h"
#include "primroseweir/configuration/configuration_controller.h"
#include "primroseweir/configuration/configuration_snapshot.h"
#include "primroseweir/membership/gossip_controller.h"
#include "primroseweir/membership/membership_view.h"

namespace primroseweir {

std::vector<SocketAddress> InstanceFleet::AddressesFor(const std::string& caller) const {
  const auto view = gossip_->View();
  const auto snapshot = configuration_->Current();
  // Sorted in descending order: this instance first, then the others by their rendezvous score for
  // the caller.
  std::vector<std::tuple<bool, std::uint64_t, SocketAddress>> ranked;
  for (const auto& member : view->members) {
    if (member.state != MemberState::kAlive ||
        snapshot->data_centres_out.count(member.data_centre) > 0) {
      continue;
    }
    const auto score = RendezvousScore(caller, StableHash(member.id.value()));
    ranked.emplace_back(member.id == self_, score, member.caller_address);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<SocketAddress> addresses;
  addresses.reserve(ranked.size());
  for (const auto& [is_self, score, address] : ranked) {
    addresses.push_back(address);
  }
  return addresses;
}

std::optional<SocketAddress> InstanceFleet::Find(const InstanceId& instance,
                                                 Incarnation incarnation) const {
  const auto view = gossip_->View();
  for (const auto& member : view->members) {
    if (member.id == instance && member.incarnation == incarnation &&
        member.state != MemberState::kDead) {
      return member.caller_address;
    }
  }
  return std::nullopt;
}

Revision InstanceFleet::CurrentRevision() const { return configuration_->Current()->revision; }

}  // namespace primroseweir
