#ifndef PRIMROSEWEIR_KEYS_CALL_KEY_ISSUER_H_
#define PRIMROSEWEIR_KEYS_CALL_KEY_ISSUER_H_

#include <chrono>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

struct CallKey;

// Creates and verifies the call key prefixes of one incarnation of an instance. Thread-safe.
class CallKeyIssuer {
 public:
  // `fleet_key`, from the settings, is the secret of the MAC; all instances of a fleet share it.
  CallKeyIssuer(std::string fleet_key, const InstanceId& instance, Incarnation incarnation);

  // Returns a new prefix that is valid for kValidity from `now`.
  std::string MakePrefix(Instant now) const;
  // Returns whether the MAC was made with the fleet key, by any instance. Compares in constant
  // time.
  bool Verify(const CallKey& key) const;
  // Returns whether this incarnation of this instance issued the key. Does not check the MAC.
  bool IsIssuedHere(const CallKey& key) const;

  static constexpr Duration kValidity = std::chrono::minutes(10);

 private:
  std::string ComputeMac(const std::string& signed_part) const;

  const std::string fleet_key_;
  const InstanceId instance_;
  const Incarnation incarnation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_KEYS_CALL_KEY_ISSUER_H_
