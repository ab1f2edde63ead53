#ifndef PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_SNAPSHOT_H_
#define PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/service.h"
#include "primroseweir/configuration/upstream_record.h"

namespace primroseweir {

class CustomerTable;

// Configuration in force at one point in time. Immutable once published through an RcuCell.
struct ConfigurationSnapshot {
  // Highest revision of any key; 0 until the first value is adopted.
  Revision revision;
  Revision text_revision;
  Revision declarations_revision;
  Revision instances_revision;
  // Hash of the adopted keys and their revisions. When two instances have the same configuration
  // revision but different digests, at least one of them lacks a value.
  std::uint64_t digest = 0;

  // Adopted revision of each key.
  std::map<std::string, Revision> key_revisions;
  // Data centres whose parts make up a divided list; empty when the list is not divided.
  std::vector<DataCentre> parts;

  std::vector<Service> services;
  // Null if the text names no customers: then no call needs a key.
  std::shared_ptr<const CustomerTable> customers;
  // Data centres that the operators have taken out of service.
  std::set<DataCentre> data_centres_out;
  std::vector<UpstreamRecord> upstreams;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_SNAPSHOT_H_
