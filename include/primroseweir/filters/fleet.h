#ifndef PRIMROSEWEIR_FILTERS_FLEET_H_
#define PRIMROSEWEIR_FILTERS_FLEET_H_

#include <optional>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir {

// Provides the filters with the addresses of the entry instances and the configuration revision.
// Implementations must be thread-safe and take no lock.
class Fleet {
 public:
  virtual ~Fleet() = default;

  // Returns the caller addresses of the instances in service, in the order in which this caller
  // should use them.
  virtual std::vector<SocketAddress> AddressesFor(const std::string& caller) const = 0;
  // Returns the caller address of that incarnation; nullopt when it is dead or unknown.
  virtual std::optional<SocketAddress> Find(const InstanceId& instance,
                                            Incarnation incarnation) const = 0;
  // Returns the revision of the configuration in force.
  virtual Revision CurrentRevision() const = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_FLEET_H_
