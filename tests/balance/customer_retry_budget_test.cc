#include "primroseweir/balance/customer_retry_budget.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "primroseweir/base/random.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCustomers = 20;

struct Outcome {
  double others_wanted = 0;
  double others_got = 0;
  double busy_got = 0;
  double first_attempts = 0;
};

// 20 customers with two calls a second each, of which every tenth is retried, beside one with 15
// calls a second that are all retried, for 30 s. `first` and `retry` are called for each customer.
template <typename First, typename Retry>
Outcome Run(First first, Retry retry) {
  Outcome outcome;
  Random random(5);
  for (Instant now(seconds(100)); now < Instant(seconds(130)); now += milliseconds(10)) {
    for (std::uint64_t customer = 1; customer <= kCustomers + 1; ++customer) {
      const bool is_busy = customer == kCustomers + 1;
      if (random.UniformUnit() >= (is_busy ? 0.15 : 0.02)) {
        continue;
      }
      first(customer, now);
      outcome.first_attempts += 1;
      if (is_busy) {
        outcome.busy_got += retry(customer, now) ? 1 : 0;
      } else if (random.UniformUnit() < 0.1) {
        outcome.others_wanted += 1;
        outcome.others_got += retry(customer, now) ? 1 : 0;
      }
    }
  }
  return outcome;
}

// Guards against one customer with failing calls that uses up the retries of all others.
TEST_CASE("a customer with failing calls leaves the others their retries", "[balance]") {
  const WindowedRetryBudget::Limits limits{0.2, 0, seconds(10)};
  WindowedRetryBudget whole(limits);
  const auto before = Run([&](auto /*customer*/, auto now) { whole.RecordFirstAttempt(now); },
                          [&](auto /*customer*/, auto now) { return whole.TryAcquire(1, now); });
  CHECK(before.others_got < before.others_wanted * 0.8);
  CustomerRetryBudget shared(limits);
  const auto after =
      Run([&](auto customer, auto now) { shared.RecordFirstAttempt(customer, now); },
          [&](auto customer, auto now) { return shared.TryAcquire(customer, 1, now); });
  INFO("others got " << before.others_got << " before and " << after.others_got << " of "
                     << after.others_wanted << ", the busy one " << before.busy_got << " and "
                     << after.busy_got);
  CHECK(after.others_got >= after.others_wanted * 0.95);
  CHECK(after.busy_got > 0);
  CHECK(after.others_got + after.busy_got <= limits.ratio * after.first_attempts);
}

// Guards against a customer with few calls that may never retry, since its own part of the budget
// is below one retry, and against state of customers that no longer call.
TEST_CASE("a customer with one call may retry while the budget is hardly used", "[balance]") {
  CustomerRetryBudget budget({0.2, 0, seconds(10)});
  Instant now(seconds(100));
  for (std::uint64_t customer = 1; customer <= 50; ++customer) {
    budget.RecordFirstAttempt(customer, now);
  }
  CHECK(budget.TryAcquire(7, 1, now));
  CHECK(budget.TryAcquire(std::nullopt, 1, now));
  now += seconds(60);
  budget.RecordFirstAttempt(3, now);
  CHECK(budget.size() == 1);
  CHECK_FALSE(budget.TryAcquire(3, 1, now));
}

}  // namespace
}  // namespace primroseweir
