#ifndef PRIMROSEWEIR_ENTRY_INSTANCE_FLEET_H_
#define PRIMROSEWEIR_ENTRY_INSTANCE_FLEET_H_

#include <optional>
#include <string>
#include <vector>

#include "primroseweir/filters/fleet.h"

namespace primroseweir {

class ConfigurationController;
class GossipController;

// Implements Fleet on the membership view of the gossip and the configuration in force.
class InstanceFleet : public Fleet {
 public:
  // `gossip` and `configuration` outlive this object.
  InstanceFleet(const InstanceId& self, const GossipController* gossip,
                const ConfigurationController* configuration)
      : self_(self), gossip_(gossip), configuration_(configuration) {}

  std::vector<SocketAddress> AddressesFor(const std::string& caller) const override;
  std::optional<SocketAddress> Find(const InstanceId& instance,
                                    Incarnation incarnation) const override;
  Revision CurrentRevision() const override;

 private:
  const InstanceId self_;
  const GossipController* const gossip_;
  const ConfigurationController* const configuration_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ENTRY_INSTANCE_FLEET_H_
