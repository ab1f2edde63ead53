#ifndef PRIMROSEWEIR_CONFIGURATION_SNAPSHOT_H_
#define PRIMROSEWEIR_CONFIGURATION_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/service.h"
#include "primroseweir/configuration/upstream_record.h"

namespace primroseweir {

// The configuration in force at one moment. Immutable once published through an RcuCell.
struct ConfigurationSnapshot {
  // The highest revision of any key; 0 before the first value arrived.
  Revision revision;
  Revision text_revision;
  Revision declarations_revision;
  Revision instances_revision;
  // Hash of the keys in force and their revisions. Two instances with the same configuration
  // revision but different digests lack a value of each other.
  std::uint64_t digest = 0;

  // The revision in force of each key.
  std::map<std::string, Revision> key_revisions;
  // The parts that a divided list names; empty for a whole one.
  std::vector<DataCentre> parts;

  std::vector<Service> services;
  // Data centres that operators took out of service.
  std::set<DataCentre> out;
  std::vector<UpstreamRecord> upstreams;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_SNAPSHOT_H_
