// Answers to the first reports of a peer.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>

#include "primroseweir/customers/customer_table.h"
#include "primroseweir/customers/fleet_quota.h"
#include "quota_calls.h"

namespace primroseweir::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kFirst = 1;
constexpr std::uint32_t kSecond = 2;
Incarnation FirstRun() { return Incarnation().Next(); }

// Load: two instances get their first calls at the same moment, as after a power failure. Guards
// against answers that are answered in turn: until kAnsweredPeriod had passed, each pair sent as
// many datagrams as the network carries.
TEST_CASE("an answer to a report does not cause answers without end", "[customers]") {
  const auto table = OneCustomer();
  const Instant now{std::chrono::hours(1)};
  FleetQuota first(1);
  FleetQuota second(2);
  for (auto* quota : {&first, &second}) {
    quota->Apply(table.get(), now);
    quota->TryAcquire(table->customers()[0], 1, now);
  }
  first.SetOwnAddress(kFirst);
  second.SetOwnAddress(kSecond);
  int answers = 0;
  auto report = first.UsageToReport(now);
  REQUIRE(report);
  auto* receiver = &second;
  while (report && answers < 100) {
    const auto sender = receiver == &second ? kFirst : kSecond;
    receiver->MergeUsage(sender, FirstRun(), *report, now);
    report = receiver->AnswerTo(sender, now);
    answers += report ? 1 : 0;
    receiver = receiver == &second ? &first : &second;
  }
  CHECK(answers >= 1);
  CHECK(answers <= 2);
  // An answer may be lost, so that the next report is answered again.
  const auto later = now + FleetQuota::kReportInterval;
  second.MergeUsage(kFirst, FirstRun(), *first.UsageToReport(later), later);
  CHECK(second.AnswerTo(kFirst, later));
}

// Guards against answers that take the place of the last reports: the other peers then took the
// instance for one that was cut off, and lowered their shares for a minute.
TEST_CASE("answers do not use up the reports that calls have ended", "[customers]") {
  const auto table = OneCustomer();
  Instant now{std::chrono::hours(1)};
  FleetQuota quota(1);
  quota.Apply(table.get(), now);
  quota.TryAcquire(table->customers()[0], 1, now);
  now += FleetQuota::kActivePeriod + milliseconds(50);
  for (std::uint32_t peer = kSecond; peer < kSecond + 5; ++peer) {
    quota.MergeUsage(peer, FirstRun(), UsageReport(), now);
    const auto answer = quota.AnswerTo(peer, now);
    REQUIRE(answer);
    CHECK_FALSE(answer->is_active);
  }
  int last_reports = 0;
  while (const auto report = quota.UsageToReport(now)) {
    CHECK_FALSE(report->is_active);
    ++last_reports;
  }
  CHECK(last_reports == 3);
}

// Load: forged reports of ever new addresses. Guards against memory that grows with them.
TEST_CASE("reports of too many addresses are ignored", "[customers]") {
  const auto table = OneCustomer();
  const Instant now{std::chrono::hours(1)};
  FleetQuota quota(1);
  quota.Apply(table.get(), now);
  for (std::uint32_t peer = kSecond; peer < 2 * FleetQuota::kMaxPeers; ++peer) {
    quota.MergeUsage(peer, FirstRun(), UsageReport(), now);
  }
  CHECK(quota.ActivePeers(now).size() <= FleetQuota::kMaxPeers);
}

}  // namespace
}  // namespace primroseweir::testing
