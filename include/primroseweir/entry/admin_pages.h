#ifndef PRIMROSEWEIR_ENTRY_ADMIN_PAGES_H_
#define PRIMROSEWEIR_ENTRY_ADMIN_PAGES_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "primroseweir/configuration/configuration_rejection.h"
#include "primroseweir/configuration/snapshot.h"
#include "primroseweir/membership/membership_view.h"
#include "primroseweir/routing/explanation.h"

namespace primroseweir {

// The instance's own part of /status.
struct InstanceStatus {
  Member self;
  bool leaving = false;
  // Connections of callers that are open now.
  std::size_t connections = 0;
  // Time since a peer or the platform last named a revision.
  Duration since_contact{};
};

// Body of /status: this instance, the configuration in force, rejected values, and the members.
nlohmann::json StatusPage(const InstanceStatus& status, const ConfigurationSnapshot& snapshot,
                          const std::vector<ConfigurationRejection>& rejections,
                          const MembershipView& view);

// Body of /explain: why each upstream of a service is or is not used.
nlohmann::json ExplainPage(const ServiceExplanation& explanation,
                           const ConfigurationSnapshot& snapshot);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ENTRY_ADMIN_PAGES_H_
