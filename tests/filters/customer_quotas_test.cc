#include "primroseweir/filters/customer_quotas.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "filters/call_fixture.h"
#include "primroseweir/base/random.h"
#include "primroseweir/customers/customer_table.h"
#include "primroseweir/filters/quota_filter.h"
#include "primroseweir/membership/membership_view.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::shared_ptr<const CustomerTable> QuotaTable(double rate, double burst) {
  CustomerTable::Entry entry;
  entry.customer.name = CustomerName("a");
  entry.customer.rate = rate;
  entry.customer.burst = burst;
  entry.keys = {"key-a"};
  return *CustomerTable::Create({entry});
}

// Most calls in any 5 s that the operators accept for a quota.
double MostAllowed(double rate, double burst) { return (rate * 5 + burst) * 1.25 + 20; }

std::size_t MostWithinFiveSeconds(const std::deque<Instant>& times) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= seconds(5)) ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

// Instances with a CustomerQuotas each, in simulated time. Reports arrive 20 ms later, and are lost
// with a probability.
class SimulatedFleet {
 public:
  SimulatedFleet(std::size_t instances, std::shared_ptr<const CustomerTable> table)
      : table_(std::move(table)) {
    for (std::size_t i = 0; i < instances; ++i) instances_.push_back(Start(i, instances));
  }
  std::unique_ptr<CustomerQuotas> Start(std::size_t i, std::size_t instances) {
    auto quotas = std::make_unique<CustomerQuotas>(IdOf(i), i + 1);
    quotas->SetFleet(ViewOf(i, instances, 0), true);
    quotas->Apply(table_.get(), now_);
    return quotas;
  }
  void Restart(std::size_t i) {
    ++incarnations_;
    instances_[i] = Start(i, instances_.size());
    for (auto& other : instances_) other->RecordRun(IdOf(i), Incarnation(incarnations_));
  }
  void Apply(std::shared_ptr<const CustomerTable> table) {
    table_ = std::move(table);
    for (auto& instance : instances_) instance->Apply(table_.get(), now_);
  }
  // Divides the fleet into parts that hear nothing of each other, which the heartbeats show.
  void Cut(std::size_t parts) {
    parts_ = parts;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      instances_[i]->SetFleet(ViewOf(i, instances_.size(), parts), true);
    }
  }
  // Ends the last instance, which declares that.
  void StopLast() {
    const auto last = instances_.size() - 1;
    auto view = ViewOf(0, instances_.size(), 0);
    view.members[last].state = MemberState::kDead;
    view.members[last].has_ended = true;
    instances_.pop_back();
    for (auto& instance : instances_) instance->SetFleet(view, true);
  }
  // Runs for `duration` with `calls_per_second` calls at each instance.
  void Run(Duration duration, double calls_per_second, double loss = 0) {
    const auto end = now_ + duration;
    double due = 0;
    for (int tick = 0; now_ < end; ++tick) {
      for (due += calls_per_second * 0.01; due >= 1; due -= 1) {
        for (auto& instance : instances_) {
          const auto decision =
              instance->TryAcquire(table_->customers().front(), requests_++, now_);
          (decision.admitted ? admitted : refused).push_back(now_);
        }
      }
      Deliver();
      if (tick % 10 == 0) Report(loss);
      now_ += milliseconds(10);
    }
  }

  std::deque<Instant> admitted;
  std::deque<Instant> refused;

 private:
  struct Message {
    Instant at;
    std::size_t from = 0;
    std::size_t to = 0;
    UsageReport usage;
  };

  static InstanceId IdOf(std::size_t i) { return InstanceId("entry-" + std::to_string(i)); }
  // The view of instance `self`, which hears only the instances of its part.
  static MembershipView ViewOf(std::size_t self, std::size_t instances, std::size_t parts) {
    MembershipView view;
    for (std::size_t i = 0; i < instances; ++i) {
      Member member;
      member.id = IdOf(i);
      member.incarnation = Incarnation(1);
      if (parts > 0 && i % parts != self % parts) {
        member.state = MemberState::kDead;
      }
      view.members.push_back(std::move(member));
    }
    return view;
  }

  void Report(double loss) {
    for (std::size_t from = 0; from < instances_.size(); ++from) {
      const auto usage = instances_[from]->UsageToReport(now_);
      for (std::size_t to = 0; usage && to < instances_.size(); ++to) {
        const bool is_lost = random_.UniformBelow(1000) < static_cast<std::uint64_t>(loss * 1000);
        const bool is_cut = parts_ > 0 && to % parts_ != from % parts_;
        if (to != from && !is_lost && !is_cut)
          messages_.push_back({now_ + milliseconds(20), from, to, *usage});
      }
    }
  }
  void Deliver() {
    for (; !messages_.empty() && messages_.front().at <= now_; messages_.pop_front()) {
      const auto& message = messages_.front();
      if (message.to >= instances_.size()) continue;
      instances_[message.to]->MergeUsage(IdOf(message.from), Incarnation(incarnations_),
                                         message.usage, now_);
    }
  }

  std::shared_ptr<const CustomerTable> table_;
  std::vector<std::unique_ptr<CustomerQuotas>> instances_;
  std::deque<Message> messages_;
  std::uint64_t incarnations_ = 1;
  std::size_t parts_ = 0;
  std::uint64_t requests_ = 0;
  Random random_{20261207};
  Instant now_ = Instant() + std::chrono::hours(1);
};

// Guards against instances that each admit the whole quota, or that refuse what is within it.
TEST_CASE("instances together admit a quota and little more") {
  for (const std::size_t instances : {2, 3, 8}) {
    for (const double loss : {0.0, 0.2}) {
      INFO(instances << " instances, loss " << loss);
      SimulatedFleet fleet(instances, QuotaTable(20, 20));
      fleet.Run(seconds(20), 50, loss);
      CHECK(static_cast<double>(MostWithinFiveSeconds(fleet.admitted)) <= MostAllowed(20, 20));
      CHECK(fleet.admitted.size() > 20 * 20 / 2);
    }
  }
  SimulatedFleet calm(3, QuotaTable(20, 20));
  calm.Run(seconds(5), 1);
  const auto refused_at_start = calm.refused.size();
  calm.Run(seconds(20), 4);
  CHECK(calm.refused.size() - refused_at_start <= 12 * 20 / 10);
}

// Guards against instances that were cut off while they had no calls, so that no report showed it,
// and that each admit the whole quota.
TEST_CASE("the parts of a fleet that was cut without calls together admit a quota and little more",
          "[cut]") {
  for (const std::size_t parts : {2, 4}) {
    INFO(parts << " parts");
    SimulatedFleet fleet(4, QuotaTable(20, 20));
    fleet.Run(seconds(10), 0);
    fleet.Cut(parts);
    fleet.Run(seconds(20), 50);
    CHECK(static_cast<double>(MostWithinFiveSeconds(fleet.admitted)) <= MostAllowed(20, 20));
    CHECK(fleet.admitted.size() > 20 * 20 / 2);
  }
}

// Guards against quotas that stay reduced once a cut has healed.
TEST_CASE("after a cut the whole quota can be used again", "[cut]") {
  SimulatedFleet fleet(4, QuotaTable(20, 20));
  fleet.Cut(4);
  fleet.Run(seconds(5), 0);
  fleet.Cut(0);
  fleet.Run(seconds(10), 50);
  fleet.admitted.clear();
  fleet.Run(seconds(10), 50);
  CHECK(fleet.admitted.size() > 20 * 10 * 4 / 5);
}

// Guards against a planned stop that reduces the quota for a minute, as the loss of an instance
// does.
TEST_CASE("the other instances use the whole quota after one has stopped") {
  SimulatedFleet fleet(2, QuotaTable(20, 20));
  fleet.Run(seconds(10), 50);
  fleet.StopLast();
  fleet.Run(seconds(2), 50);
  fleet.admitted.clear();
  fleet.Run(seconds(10), 50);
  CHECK(fleet.admitted.size() > 20 * 10 * 4 / 5);
}

// Guards against a lowered limit that takes effect late, and against a restart that frees a quota.
TEST_CASE("a lowered limit holds at once, and a restart does not add to a quota") {
  SimulatedFleet fleet(3, QuotaTable(100, 50));
  fleet.Run(seconds(10), 100);
  fleet.Apply(QuotaTable(10, 5));
  fleet.admitted.clear();
  fleet.Run(seconds(10), 100);
  CHECK(static_cast<double>(MostWithinFiveSeconds(fleet.admitted)) <= MostAllowed(10, 5));
  fleet.Restart(1);
  fleet.admitted.clear();
  fleet.Run(seconds(10), 100);
  CHECK(static_cast<double>(MostWithinFiveSeconds(fleet.admitted)) <= MostAllowed(10, 5));
}

// Guards against look-ups and reports where no customer has a quota.
TEST_CASE("without quotas nothing is refused or reported") {
  CustomerQuotas quotas(InstanceId("entry-1"), 1);
  const Instant now = Instant() + seconds(100);
  quotas.Apply(nullptr, now);
  CHECK_FALSE(quotas.has_quotas());
  const auto table = QuotaTable(0, 0);
  quotas.Apply(table.get(), now);
  CHECK_FALSE(quotas.has_quotas());
  CHECK(quotas.TryAcquire(table->customers().front(), 1, now).admitted);
  CHECK_FALSE(quotas.UsageToReport(now));
}

// An entry with one customer with a quota, which was used up if `uses_up`.
struct QuotaFixture {
  explicit QuotaFixture(const FakeUpstream::Serve& serve, double rate, double burst)
      : upstream(serve), quotas(InstanceId("entry-1"), 1) {
    entry.AddUpstream("board", upstream.address());
    entry.AddUpstream("ledger", upstream.address());
    entry.snapshot()->customers = QuotaTable(rate, burst);
    MembershipView view;
    view.members.emplace_back();
    quotas.SetFleet(view, true);
    // Applied a while ago, so that the bucket is full.
    quotas.Apply(entry.snapshot()->customers.get(), MonotonicNow() - std::chrono::minutes(2));
    entry.inner_filters.push_back(std::make_unique<QuotaFilter>(&quotas));
    entry.Start();
  }
  Reply Send(const std::string& target) {
    auto head = CallFixture::Request("POST", target, "b");
    head.fields.Add("Authorization", "Token key-a");
    return entry.Send(head, "b");
  }
  FakeUpstream upstream;
  CustomerQuotas quotas;
  CallFixture entry;
};

// Guards against refusals above a quota without the status, outcome and Retry-After of the pages.
TEST_CASE("[not-run] a call above the quota gets 429 and reaches no upstream", "[not-run]") {
  QuotaFixture test(RespondWithText("ok"), 1, 3);
  int admitted = 0;
  for (int i = 0; i < 20; ++i) {
    const auto reply = test.Send("/ledger/" + std::to_string(i));
    if (reply.head.status == 200) {
      ++admitted;
      continue;
    }
    CHECK(reply.head.status == 429);
    CHECK(reply.outcome() == "not-run");
    const auto retry_after = std::stoi(reply.head.fields.Get("Retry-After"));
    CHECK(retry_after >= 1);
    CHECK(retry_after <= 5);
    CHECK(reply.body.find("above its quota") != std::string::npos);
  }
  CHECK(admitted >= 3);
  CHECK(admitted < 10);
  CHECK(test.upstream.requests == admitted);
}

// Guards against calls that no upstream executed and that still count against the quota.
TEST_CASE("a call that is proved not to have run is given back") {
  QuotaFixture test(&Refuse, 1, 3);
  for (int i = 0; i < 20; ++i) {
    CHECK(test.Send("/ledger/" + std::to_string(i)).head.status == 503);
  }
}

}  // namespace
}  // namespace primroseweir
