#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_ACCEPTED_VALUES_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_ACCEPTED_VALUES_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/configuration_values.h"
#include "primroseweir/configuration/instance_list.h"
#include "primroseweir/configuration/service.h"
#include "primroseweir/configuration/snapshot.h"
#include "primroseweir/configuration/validation_error.h"

namespace primroseweir::detail {

// The values in force with their parsed form. Not safe for several threads.
class AcceptedValues {
 public:
  // What became of one value.
  struct OfferResult {
    enum class Kind { kAdopted, kNotNewer, kRejected, kRejectedBefore };
    Kind kind = Kind::kNotNewer;
    std::vector<ValidationError> errors;
  };

  // Takes the value when it is valid and its revision is above that of the key. The result does not
  // depend on the order in which values are offered.
  OfferResult Offer(const std::string& key, const ConfigurationValue& value);

  // The configuration in force. A part that is named but not yet known keeps the upstreams of its
  // data centre from `previous`, so that dividing the list never empties it.
  std::shared_ptr<const ConfigurationSnapshot> Snapshot(
      const ConfigurationSnapshot& previous) const;

  // The values with a revision above `after`.
  ConfigurationValues After(Revision after) const;

 private:
  struct Accepted {
    Revision revision;
    std::shared_ptr<const std::string> text;
  };

  std::vector<ValidationError> Parse(const std::string& key, const std::string& text);
  bool WasRejectedBefore(const std::string& key, Revision revision) const;
  void RememberRejection(const std::string& key, Revision revision);
  Revision RevisionOf(const std::string& key) const;
  void AddDivided(const ConfigurationSnapshot& previous, ConfigurationSnapshot* snapshot) const;

  std::map<std::string, Accepted> accepted_;
  std::map<std::string, std::set<Revision>> rejected_;
  std::vector<Service> services_;
  std::set<DataCentre> out_;
  InstanceList list_;
  std::map<DataCentre, std::vector<UpstreamRecord>> parts_;
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_ACCEPTED_VALUES_H_
