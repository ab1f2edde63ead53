#ifndef PRIMROSEWEIR_KEYS_CALL_KEY_ISSUER_H_
#define PRIMROSEWEIR_KEYS_CALL_KEY_ISSUER_H_

#include <chrono>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

struct CallKey;

// Makes and checks the prefixes of call keys of one incarnation. Safe for many threads.
class CallKeyIssuer {
 public:
  // `fleet_key` comes from the settings.
  CallKeyIssuer(std::string fleet_key, const InstanceId& instance, Incarnation incarnation);

  // A new prefix, valid for kValidity.
  std::string MakePrefix(Instant now) const;
  // Whether the MAC was made under the fleet key. Compares in constant time.
  bool Verify(const CallKey& key) const;
  // Whether this incarnation issued the key.
  bool IsOwn(const CallKey& key) const;

  static constexpr Duration kValidity = std::chrono::minutes(10);

 private:
  std::string Mac(const std::string& signed_part) const;

  const std::string fleet_key_;
  const InstanceId instance_;
  const Incarnation incarnation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_KEYS_CALL_KEY_ISSUER_H_
