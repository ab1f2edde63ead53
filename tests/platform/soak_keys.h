#ifndef PRIMROSEWEIR_TESTS_PLATFORM_SOAK_KEYS_H_
#define PRIMROSEWEIR_TESTS_PLATFORM_SOAK_KEYS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "platform_site.h"
#include "primroseweir/base/random.h"
#include "primroseweir/base/time.h"

namespace primroseweir::testing {

// The customers and keys of a soak. Each customer has a permanent key, and one in each version of
// the configuration that the next version withdraws. Checks what upstreams received against the
// keys with which callers sent it. Thread-safe.
class SoakKeys {
 public:
  enum class Kind { kPermanent, kOfVersion, kUnknown };
  struct Use {
    int customer = 0;
    Kind kind = Kind::kPermanent;
    // Version of the configuration that has the key, for kOfVersion.
    int version = 0;
    Instant started_at;
  };

  static constexpr int kCustomers = 3;
  static constexpr char kPermanentKey[] = "key-of-c0";
  // Time from the withdrawal of a key after which calls with it must be refused everywhere: the
  // longest fault between the store and the instances, the time in which a version gets in force,
  // and a margin for a busy machine.
  static constexpr Duration kWithdrawalTime = std::chrono::milliseconds(1500 + 2500 + 1000);

  static std::string KeyOf(const Use& use) {
    const auto name = "key-of-" + NameOf(use.customer);
    return use.kind == Kind::kPermanent   ? name
           : use.kind == Kind::kOfVersion ? name + "-" + std::to_string(use.version)
                                          : name + "-unknown";
  }

  static PlatformSite::Json CustomersOfVersion(int version) {
    auto customers = PlatformSite::Json::array();
    for (int i = 0; i < kCustomers; ++i) {
      customers.push_back(PlatformSite::CustomerRecord(
          NameOf(i),
          {KeyOf({i, Kind::kPermanent, 0, {}}), KeyOf({i, Kind::kOfVersion, version, {}})}));
    }
    return customers;
  }

  // Records that the store has that version, which withdraws the keys of the version before.
  void RecordVersion(int version, Instant now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    version_ = version;
    withdrawn_at_[version - 1] = now;
  }

  // Draws a permanent key in half of the cases, and else one of the latest three versions or an
  // unknown one.
  Use Draw(Random* random, Instant now) {
    Use use;
    use.customer = static_cast<int>(random->UniformBelow(kCustomers));
    const auto draw = random->UniformBelow(8);
    use.kind = draw < 4 ? Kind::kPermanent : draw < 7 ? Kind::kOfVersion : Kind::kUnknown;
    const int age = static_cast<int>(random->UniformBelow(3));
    const std::lock_guard<std::mutex> lock(mutex_);
    use.version = version_ - age;
    use.started_at = now;
    return use;
  }

  void RecordUse(const std::string& request, const Use& use) {
    const std::lock_guard<std::mutex> lock(mutex_);
    uses_[request] = use;
  }

  // `caller_lines` and `execution_counts` are the pages /callers and /ledger of the stand-in
  // platform. Requests that were not recorded have the permanent key.
  std::vector<std::string> FindViolations(const std::string& caller_lines,
                                          const std::string& execution_counts) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::string> violations;
    std::set<std::string> named_requests;
    std::istringstream lines(caller_lines);
    std::string request;
    std::string customer;
    for (std::string key; lines >> request >> customer && std::getline(lines, key);) {
      named_requests.insert(request);
      const auto found = uses_.find(request);
      const auto use = found == uses_.end() ? Use() : found->second;
      if (key != " -") {
        violations.push_back("an upstream received the key of " + request);
      }
      if (customer != NameOf(use.customer)) {
        violations.push_back("an upstream received the name of another customer with " + request);
      }
      if (use.kind == Kind::kUnknown) {
        violations.push_back("an upstream received " + request + ", whose key is unknown");
      }
      if (use.kind == Kind::kOfVersion && WasWithdrawn(use)) {
        violations.push_back("an upstream received " + request + ", whose key was withdrawn");
      }
    }
    std::istringstream counts(execution_counts);
    for (int count = 0; counts >> request >> count;) {
      if (named_requests.count(request) == 0) {
        violations.push_back("an upstream executed " + request + " without a customer's name");
      }
    }
    return violations;
  }

 private:
  static std::string NameOf(int customer) { return "c" + std::to_string(customer); }

  bool WasWithdrawn(const Use& use) const {
    const auto withdrawn = withdrawn_at_.find(use.version);
    return use.version < 1 || (withdrawn != withdrawn_at_.end() &&
                               use.started_at > withdrawn->second + kWithdrawalTime);
  }

  std::mutex mutex_;
  int version_ = 1;
  // Time at which the keys of each version were withdrawn.
  std::map<int, Instant> withdrawn_at_;
  std::map<std::string, Use> uses_;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_PLATFORM_SOAK_KEYS_H_
