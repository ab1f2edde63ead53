#ifndef PRIMROSEWEIR_PEER_CONFIGURATION_STATE_H_
#define PRIMROSEWEIR_PEER_CONFIGURATION_STATE_H_

#include <cstdint>

#include "primroseweir/base/ids.h"

namespace primroseweir {

// The configuration in force at an instance, as its messages name it.
struct ConfigurationState {
  // The highest revision of any key.
  Revision revision;
  // Hash over the revisions of all keys. Two instances with equal revision and different digests
  // lack different keys and exchange whole values.
  std::uint64_t digest = 0;

  friend bool operator==(const ConfigurationState& a, const ConfigurationState& b) {
    return a.revision == b.revision && a.digest == b.digest;
  }
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_CONFIGURATION_STATE_H_
