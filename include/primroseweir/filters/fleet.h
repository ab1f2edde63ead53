#ifndef PRIMROSEWEIR_FILTERS_FLEET_H_
#define PRIMROSEWEIR_FILTERS_FLEET_H_

#include <optional>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir {

// What the filters ask about the other entry instances. Safe for many threads; takes no lock.
class Fleet {
 public:
  virtual ~Fleet() = default;

  // Caller addresses of the instances in service, in the order for this caller.
  virtual std::vector<SocketAddress> AddressesFor(const std::string& caller) const = 0;
  // Caller address of that incarnation; nothing when it is dead or unknown.
  virtual std::optional<SocketAddress> Find(const InstanceId& instance,
                                            Incarnation incarnation) const = 0;
  // Revision of the configuration in force.
  virtual Revision CurrentRevision() const = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_FLEET_H_
