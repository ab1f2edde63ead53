#ifndef PRIMROSEWEIR_TESTS_PLATFORM_SOAK_QUOTA_H_
#define PRIMROSEWEIR_TESTS_PLATFORM_SOAK_QUOTA_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "platform_site.h"
#include "primroseweir/base/time.h"
#include "soak_keys.h"

namespace primroseweir::testing {

// The customer of a soak that has a quota, sends many times of it, and whose limits are lowered and
// raised by new versions of the configuration. Checks the calls that upstreams executed.
class SoakQuota {
 public:
  struct Limits {
    double rate = 0;
    double burst = 0;
  };

  // The customer behind those of SoakKeys.
  static constexpr int kCustomer = SoakKeys::kCustomers;
  // Start of the ids of its requests.
  static constexpr char kRequestPrefix[] = "flood-";
  static constexpr std::int64_t kWindowMilliseconds = 5000;

  static SoakKeys::Use KeyUse() {
    SoakKeys::Use use;
    use.customer = kCustomer;
    return use;
  }

  // A few versions with a high limit, then more with a low one, so that the low one holds long
  // enough to be checked: a limit may be in force for kWithdrawalTime after it was replaced.
  static Limits LimitsOfVersion(int version) {
    return version % 12 < 3 ? Limits{40, 20} : Limits{10, 5};
  }

  static PlatformSite::Json RecordOfVersion(int version) {
    auto record =
        PlatformSite::CustomerRecord("c" + std::to_string(kCustomer), {SoakKeys::KeyOf(KeyUse())});
    record["ratePerS"] = LimitsOfVersion(version).rate;
    record["burst"] = LimitsOfVersion(version).burst;
    return record;
  }

  // Records that the store has that version.
  void RecordVersion(int version, Instant now) { published_[version] = MillisecondsOf(now); }

  // Most calls that the operators accept in any 5 s.
  static double MostAllowed(const Limits& limits) {
    return (limits.rate * 5 + limits.burst) * 1.25 + 20;
  }

  // `first_executions` is the page /first-executions of the stand-in platform. A call counts once,
  // when an upstream first executes it; calls that were proved not to run don't count.
  std::vector<std::string> FindViolations(const std::string& first_executions) const {
    std::vector<std::int64_t> times;
    std::istringstream lines(first_executions);
    std::string request;
    for (std::int64_t time = 0; lines >> request >> time;) {
      if (request.rfind(kRequestPrefix, 0) == 0) {
        times.push_back(time);
      }
    }
    std::sort(times.begin(), times.end());
    std::size_t first = 0;
    std::vector<std::string> violations;
    for (std::size_t last = 0; last < times.size() && violations.empty(); ++last) {
      while (times[last] - times[first] >= kWindowMilliseconds) {
        ++first;
      }
      const auto count = last - first + 1;
      const auto allowed = MostAllowedWithin(times[first], times[last]);
      if (static_cast<double>(count) > allowed) {
        violations.push_back("upstreams executed " + std::to_string(count) +
                             " calls of the customer with a quota within 5 s, of " +
                             std::to_string(allowed) + " allowed");
      }
    }
    return violations;
  }

 private:
  static std::int64_t MillisecondsOf(Instant time) {
    return ToMilliseconds(time.time_since_epoch());
  }

  // The highest limit that may have been in force at an instance between the times.
  double MostAllowedWithin(std::int64_t from, std::int64_t to) const {
    double most = 0;
    for (const auto& [version, start] : published_) {
      const auto next = published_.upper_bound(version);
      const bool was_replaced = next != published_.end() &&
                                next->second + ToMilliseconds(SoakKeys::kWithdrawalTime) < from;
      if (start <= to && !was_replaced) {
        most = std::max(most, MostAllowed(LimitsOfVersion(version)));
      }
    }
    return most;
  }

  std::map<int, std::int64_t> published_;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_PLATFORM_SOAK_QUOTA_H_
