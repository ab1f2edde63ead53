#ifndef PRIMROSEWEIR_FILTERS_CUSTOMER_CALLS_H_
#define PRIMROSEWEIR_FILTERS_CUSTOMER_CALLS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace primroseweir {

class CustomerTable;
struct CallOutcome;

// Counts the calls of each customer and how they ended, for the operators. Calls that were
// forwarded to the issuer of their call key count there. Thread-safe; used only while the
// configuration has customers.
class CustomerCalls {
 public:
  struct Counts {
    std::uint64_t asked = 0;
    // Calls whose response came from an upstream.
    std::uint64_t served = 0;
    std::uint64_t unknown = 0;
    // Refused calls by the step that refused them, such as "quota" or "admission".
    std::map<std::string, std::uint64_t> refused;
  };
  using CountsByCustomer = std::map<std::string, Counts>;

  // Records the end of a call. `customer` is kAnonymous for a caller without a known key.
  void Record(const std::string& customer, const CallOutcome& call_outcome);
  // Forgets customers that a new configuration doesn't have; all if it has none.
  void Apply(const CustomerTable* customers);
  CountsByCustomer Snapshot() const;

  // Not a valid name of a customer.
  static constexpr char kAnonymous[] = "(none)";

 private:
  mutable std::mutex mutex_;
  CountsByCustomer counts_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_CUSTOMER_CALLS_H_
