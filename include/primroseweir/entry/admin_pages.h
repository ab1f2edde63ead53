#ifndef PRIMROSEWEIR_ENTRY_ADMIN_PAGES_H_
#define PRIMROSEWEIR_ENTRY_ADMIN_PAGES_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "primroseweir/configuration/configuration_rejection.h"
#include "primroseweir/configuration/configuration_snapshot.h"
#include "primroseweir/filters/customer_calls.h"
#include "primroseweir/membership/membership_view.h"
#include "primroseweir/routing/explanation.h"

namespace primroseweir {

// The part of /status that describes the instance itself.
struct InstanceStatus {
  Member self;
  bool leaving = false;
  // Number of open connections of callers.
  std::size_t connections = 0;
  // Time since a peer or the platform last reported a configuration revision.
  Duration since_contact{};
};

// Returns the body of /status: this instance, the configuration in force, rejected configuration
// values, and the members of the fleet.
nlohmann::json StatusPage(const InstanceStatus& status, const ConfigurationSnapshot& snapshot,
                          const std::vector<ConfigurationRejection>& rejections,
                          const MembershipView& view);

// Adds the customers and their calls to the body of /status, if the configuration has customers.
void AddCustomers(const ConfigurationSnapshot& snapshot,
                  const CustomerCalls::CountsByCustomer& calls, nlohmann::json* page);

// Returns the body of /explain: the state of a service and, for each of its upstreams, why it is or
// is not used.
nlohmann::json ExplainPage(const ServiceExplanation& explanation,
                           const ConfigurationSnapshot& snapshot);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ENTRY_ADMIN_PAGES_H_
