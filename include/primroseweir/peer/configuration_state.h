#ifndef PRIMROSEWEIR_PEER_CONFIGURATION_STATE_H_
#define PRIMROSEWEIR_PEER_CONFIGURATION_STATE_H_

#include <cstdint>

#include "primroseweir/base/ids.h"

namespace primroseweir {

// Identifies the configuration in force at an instance. Each gossip message carries it.
struct ConfigurationState {
  // The highest revision of any key.
  Revision revision;
  // Hash over the revisions of all keys. Two instances with equal revisions but different digests
  // lack different keys and exchange complete values.
  std::uint64_t digest = 0;

  friend bool operator==(const ConfigurationState& a, const ConfigurationState& b) {
    return a.revision == b.revision && a.digest == b.digest;
  }
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_CONFIGURATION_STATE_H_
