#ifndef PRIMROSEWEIR_KEYS_CALL_KEY_H_
#define PRIMROSEWEIR_KEYS_CALL_KEY_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// A parsed call key, which a caller sends with a call:
// INSTANCE.INCARNATION.NONCE.EXPIRY.MAC.SUFFIX. The issuing instance creates everything before the
// suffix (the prefix) and sends it in an address response; the caller appends the suffix.
struct CallKey {
  InstanceId issuer;
  Incarnation incarnation;
  // On the issuer's monotonic clock; has no meaning on other instances.
  Instant expiry;
  // "INSTANCE.INCARNATION.NONCE.EXPIRY", the text that the MAC covers.
  std::string signed_part;
  std::string mac;
  // Chosen by the caller: 1 to kMaxSuffixBytes visible ASCII characters. It may contain dots.
  std::string suffix;

  static constexpr std::size_t kMaxSuffixBytes = 64;
};

// Parses a call key without checking its MAC. Returns InvalidArgument when the text is malformed.
absl::StatusOr<CallKey> ParseCallKey(const std::string& text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_KEYS_CALL_KEY_H_
