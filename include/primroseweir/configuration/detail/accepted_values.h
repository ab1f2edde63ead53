#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_ACCEPTED_VALUES_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_ACCEPTED_VALUES_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/configuration_snapshot.h"
#include "primroseweir/configuration/configuration_values.h"
#include "primroseweir/configuration/instance_list.h"
#include "primroseweir/configuration/service.h"
#include "primroseweir/configuration/validation_error.h"

namespace primroseweir {
class CustomerTable;
}  // namespace primroseweir

namespace primroseweir::detail {

// Holds the adopted values and their parsed form. Not thread-safe.
class AcceptedValues {
 public:
  // Outcome of offering one value.
  struct OfferResult {
    enum class Kind { kAdopted, kNotNewer, kRejected, kRejectedBefore };
    Kind kind = Kind::kNotNewer;
    std::vector<ValidationError> errors;
  };

  // Adopts the value if it is valid and its revision is above the adopted one of the key. The
  // values adopted in the end do not depend on the order in which values are offered.
  OfferResult Offer(const std::string& key, const ConfigurationValue& value);

  // Builds the configuration in force. For a part whose value is not yet known it keeps the
  // upstreams of that data centre from `previous`, so that dividing the list never empties it.
  std::shared_ptr<const ConfigurationSnapshot> Snapshot(
      const ConfigurationSnapshot& previous) const;

  // Returns the adopted values with a revision above `after`.
  ConfigurationValues After(Revision after) const;

 private:
  struct AcceptedValue {
    Revision revision;
    std::shared_ptr<const std::string> text;
  };

  std::vector<ValidationError> Parse(const std::string& key, const std::string& text);
  std::vector<ValidationError> ParseOperatorsText(const std::string& text);
  bool WasRejectedBefore(const std::string& key, Revision revision) const;
  void RecordRejection(const std::string& key, Revision revision);
  Revision RevisionOf(const std::string& key) const;
  void AddUpstreamsOfParts(const ConfigurationSnapshot& previous,
                           ConfigurationSnapshot* snapshot) const;

  std::map<std::string, AcceptedValue> accepted_;
  std::map<std::string, std::set<Revision>> rejected_;
  std::vector<Service> services_;
  std::shared_ptr<const CustomerTable> customers_;
  std::set<DataCentre> data_centres_out_;
  InstanceList instance_list_;
  std::map<DataCentre, std::vector<UpstreamRecord>> parts_;
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_ACCEPTED_VALUES_H_
