#ifndef PRIMROSEWEIR_CUSTOMERS_CUSTOMER_USAGE_H_
#define PRIMROSEWEIR_CUSTOMERS_CUSTOMER_USAGE_H_

#include <cstdint>
#include <vector>

namespace primroseweir {

// Calls of one customer at one instance.
struct CustomerUsage {
  // Lowest bits of Customer::hash, or another number if an earlier customer has the same.
  std::uint32_t customer = 0;
  // Calls admitted so far, modulo 2^32. Only differences within one run of the instance count.
  std::uint32_t admitted = 0;
  // Calls admitted within the last second, for a receiver that has no earlier report.
  std::uint16_t recently_admitted = 0;

  friend bool operator==(const CustomerUsage& a, const CustomerUsage& b) {
    return a.customer == b.customer && a.admitted == b.admitted &&
           a.recently_admitted == b.recently_admitted;
  }
};

// What an instance tells the others about its customers with quotas. Reports are cumulative, so a
// lost or repeated one does no harm.
struct UsageReport {
  // False in the last reports of an instance that has no more calls of customers with quotas. A
  // silent instance whose last report was active may still be admitting calls.
  bool is_active = true;
  // Customers with calls in the last second.
  std::vector<CustomerUsage> customers;
  // IPv4 addresses of some other active instances, so that all of them find each other.
  std::vector<std::uint32_t> active_peers;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CUSTOMERS_CUSTOMER_USAGE_H_
