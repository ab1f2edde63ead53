#ifndef PRIMROSEWEIR_KEYS_CALL_KEY_H_
#define PRIMROSEWEIR_KEYS_CALL_KEY_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// A caller's call key: INSTANCE.INCARNATION.NONCE.EXPIRY.MAC.SUFFIX. All but the suffix is the
// prefix from an address answer.
struct CallKey {
  InstanceId issuer;
  Incarnation incarnation;
  // By the issuer's monotonic clock; meaningless on other instances.
  Instant expiry;
  // "INSTANCE.INCARNATION.NONCE.EXPIRY", which the MAC covers.
  std::string signed_part;
  std::string mac;
  // The caller's own part.
  std::string suffix;

  static constexpr std::size_t kMaxSuffixBytes = 64;
};

// Reads a key. The MAC is not checked. InvalidArgument when the text has another form.
absl::StatusOr<CallKey> ParseCallKey(const std::string& text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_KEYS_CALL_KEY_H_
