// Issues a call key prefix and looks up two calls with the same key: the first one may start, the
// second one gets the outcome of the first.
#include <iostream>

#include "primroseweir/keys/call_key.h"
#include "primroseweir/keys/call_key_issuer.h"
#include "primroseweir/keys/started_call_table.h"

using primroseweir::StartedCallTable;

int main() {
  const primroseweir::InstanceId instance("entry-1");
  const primroseweir::CallKeyIssuer issuer("0123456789abcdef", instance,
                                           primroseweir::Incarnation(1));
  const std::string key_text = issuer.MakePrefix(primroseweir::MonotonicNow()) + ".booking-7";
  const auto key = primroseweir::ParseCallKey(key_text);
  if (!key.ok() || !issuer.Verify(*key) || !issuer.IsIssuedHere(*key)) return 1;

  StartedCallTable table{StartedCallTable::Options()};
  constexpr std::uint64_t kFingerprint = 42;
  const auto first = table.Begin(key_text, kFingerprint, key->expiry);
  std::cout << "first_starts=" << (first.result == StartedCallTable::LookupResult::kStart) << "\n";
  table.Finish(key_text, {primroseweir::ExecutionOutcome::kExecuted, nullptr});
  const auto second = table.Begin(key_text, kFingerprint, key->expiry);
  std::cout << "second_starts=" << (second.result == StartedCallTable::LookupResult::kStart)
            << "\n";
  return second.result == StartedCallTable::LookupResult::kEnded ? 0 : 1;
}
