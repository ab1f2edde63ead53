// Compares ways to divide a quota among the instances of a fleet. Prints a table; see
// docs/design/quotas.md. Run with: build/customers_test "[table]".
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "primroseweir/base/rendezvous.h"
#include "quota_fleet.h"

namespace primroseweir::testing {
namespace {

constexpr double kRate = 20;
constexpr double kBurst = 20;

struct Bucket {
  double level = 0;
  Instant refilled_at;

  bool TryTake(double rate, double burst, Instant now) {
    const double seconds = std::chrono::duration<double>(now - refilled_at).count();
    level = std::min(burst, level + seconds * rate);
    refilled_at = now;
    if (level < 1) {
      return false;
    }
    level -= 1;
    return true;
  }
};

// A way to divide the quota. Instances are numbered; `Restart` loses the memory of one.
class Division {
 public:
  virtual ~Division() = default;
  virtual bool Ask(std::size_t instance) = 0;
  virtual void Tick() = 0;
  virtual void Restart(std::size_t instance) = 0;
  // Takes effect for messages; instances go on serving calls.
  virtual void Cut(bool in_two) = 0;
  // Instance whose loss hurts most, for the row with kills.
  virtual std::size_t Owner() const { return 0; }
};

// Each instance gets the same share.
class FixedShares : public Division {
 public:
  explicit FixedShares(std::size_t size) : buckets_(size) {}
  bool Ask(std::size_t instance) override {
    const auto size = static_cast<double>(buckets_.size());
    // A share of less than one call could never be used.
    return buckets_[instance].TryTake(kRate / size, std::max(1.0, kBurst / size), now_);
  }
  void Tick() override { now_ += QuotaFleet::kTick; }
  void Restart(std::size_t instance) override { buckets_[instance] = {0, now_}; }
  void Cut(bool /*in_two*/) override {}

 private:
  std::vector<Bucket> buckets_;
  Instant now_{std::chrono::hours(1)};
};

// Shares follow the demand that instances told each other, averaged over half a second and 100 ms
// old. A tenth of the quota is divided equally.
class GossipedShares : public Division {
 public:
  explicit GossipedShares(std::size_t size) : instances_(size) {}
  bool Ask(std::size_t instance) override {
    auto& own = instances_[instance];
    ++own.asked;
    const double total = TotalSeenBy(instance);
    const double share =
        0.1 / static_cast<double>(instances_.size()) + 0.9 * (total > 0 ? own.demand / total : 0);
    return own.bucket.TryTake(kRate * share, std::max(1.0, kBurst * share), now_);
  }
  void Tick() override {
    now_ += QuotaFleet::kTick;
    if (++ticks_ % 10 != 0) {
      return;
    }
    told_[0] = told_[1] = 0;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      auto& instance = instances_[i];
      instance.demand += (instance.asked * 10 - instance.demand) * 0.2;
      instance.asked = 0;
      told_[i % 2] += instance.demand;
    }
  }
  void Restart(std::size_t instance) override {
    instances_[instance] = {};
    instances_[instance].bucket.refilled_at = now_;
  }
  void Cut(bool in_two) override { is_cut_ = in_two; }

 private:
  struct Instance {
    double asked = 0;
    double demand = 0;
    Bucket bucket;
  };

  double TotalSeenBy(std::size_t instance) const {
    return is_cut_ ? told_[instance % 2] : told_[0] + told_[1];
  }

  std::vector<Instance> instances_;
  double told_[2] = {0, 0};
  bool is_cut_ = false;
  std::uint64_t ticks_ = 0;
  Instant now_{std::chrono::hours(1)};
};

// The owner of the customer, by rendezvous hashing, keeps nine tenths of the quota and leases the
// calls that an instance used in the last 100 ms; the answer takes one tick. An instance that can't
// reach the owner, or waits for it, uses its part of the last tenth. A new owner starts empty.
class Leases : public Division {
 public:
  explicit Leases(std::size_t size) : instances_(size) {}
  bool Ask(std::size_t instance) override {
    auto& own = instances_[instance];
    if (own.leased >= 1) {
      own.leased -= 1;
      return true;
    }
    own.wanted += 1;
    const auto size = static_cast<double>(instances_.size());
    return own.reserve.TryTake(0.1 * kRate / size, std::max(1.0, 0.1 * kBurst / size), now_);
  }
  void Tick() override {
    now_ += QuotaFleet::kTick;
    const auto owner = Owner();
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      auto& instance = instances_[i];
      if (is_cut_ && i % 2 != owner % 2) {
        continue;
      }
      for (; instance.wanted >= 1 && bucket_.TryTake(0.9 * kRate, 0.9 * kBurst, now_);
           instance.wanted -= 1) {
        instance.leased += 1;
      }
      instance.wanted = std::min(instance.wanted, 4.0);
      // An unused lease is given back.
      instance.leased = std::min(instance.leased, 4.0);
    }
  }
  void Restart(std::size_t instance) override {
    if (instance == Owner()) {
      bucket_ = {0, now_};
    }
    instances_[instance] = {};
    instances_[instance].reserve.refilled_at = now_;
  }
  void Cut(bool in_two) override { is_cut_ = in_two; }
  std::size_t Owner() const override {
    return static_cast<std::size_t>(StableHash("customer") % instances_.size());
  }

 private:
  struct Instance {
    double leased = 0;
    double wanted = 0;
    Bucket reserve;
  };

  std::vector<Instance> instances_;
  Bucket bucket_;
  bool is_cut_ = false;
  Instant now_{std::chrono::hours(1)};
};

class Metering : public Division {
 public:
  explicit Metering(std::size_t size)
      : fleet_(size, *CustomerTable::Create({MakeQuota("a", kRate, kBurst)})) {}
  bool Ask(std::size_t instance) override { return fleet_.Ask(instance).admitted; }
  void Tick() override { fleet_.Tick(); }
  void Restart(std::size_t instance) override { fleet_.Start(instance); }
  void Cut(bool in_two) override {
    fleet_.is_linked = [in_two](std::size_t from, std::size_t to) {
      return !in_two || from % 2 == to % 2;
    };
  }

 private:
  QuotaFleet fleet_;
};

using MakeDivision = std::unique_ptr<Division> (*)(std::size_t size);

template <typename T>
std::unique_ptr<Division> Make(std::size_t size) {
  return std::make_unique<T>(size);
}

enum class Fault { kNone, kCut, kKills };

struct Outcome {
  // Percent of the calls that were refused.
  double refused = 0;
  // Most calls in 5 s, in percent of what the operators accept.
  double passed = 0;
};

Outcome Run(MakeDivision make, std::size_t size, std::size_t count, Fault fault,
            double per_second) {
  const auto division = make(size);
  Random random(7);
  std::vector<int> admitted_at;
  double due = 0;
  double asked = 0;
  double refused = 0;
  for (int tick = 0; tick < 4000; ++tick) {
    division->Tick();
    if (tick == 1500 && fault == Fault::kCut) {
      division->Cut(true);
    }
    if (tick >= 1500 && tick % 100 == 0 && fault == Fault::kKills) {
      division->Restart(division->Owner());
    }
    // The first 5 s are without calls, and the next 2 s are not counted.
    due += tick < 500 ? 0 : per_second / 100;
    while (due >= 1) {
      due -= 1;
      const bool admitted = division->Ask(random.UniformBelow(count));
      asked += tick >= 700 ? 1 : 0;
      refused += tick >= 700 && !admitted ? 1 : 0;
      if (admitted) {
        admitted_at.push_back(tick);
      }
    }
  }
  Outcome outcome;
  outcome.refused = 100 * refused / std::max(asked, 1.0);
  const double most = (kRate * 5 + kBurst) * 1.25 + 20;
  for (std::size_t first = 0, last = 0; last < admitted_at.size(); ++last) {
    for (; admitted_at[last] - admitted_at[first] > 500; ++first) {
    }
    outcome.passed = std::max(outcome.passed, 100 * static_cast<double>(last - first + 1) / most);
  }
  return outcome;
}

// Guards against a choice by opinion: prints what each division refuses below the limit, at 0.8
// times the rate, and what it lets pass at five times the rate.
TEST_CASE("table of divisions of a quota", "[.][table]") {
  struct Row {
    const char* name;
    MakeDivision make;
  };
  const Row rows[] = {{"fixed shares", &Make<FixedShares>},
                      {"gossiped shares", &Make<GossipedShares>},
                      {"leases of an owner", &Make<Leases>},
                      {"metering (chosen)", &Make<Metering>}};
  std::printf(
      "| division | instances | calls at | fault | refused below, %% | passed above, %% |\n");
  std::printf("|---|---|---|---|---|---|\n");
  for (const auto& row : rows) {
    for (const std::size_t size : {13, 117, 300}) {
      for (const std::size_t count : {std::size_t{1}, std::size_t{10}, size}) {
        for (const auto fault : {Fault::kNone, Fault::kCut, Fault::kKills}) {
          const auto below = Run(row.make, size, count, fault, kRate * 0.8);
          const auto above = Run(row.make, size, count, fault, kRate * 5);
          const char* name = fault == Fault::kNone  ? "none"
                             : fault == Fault::kCut ? "cut in two"
                                                    : "owner killed";
          std::printf("| %s | %zu | %zu | %s | %.1f | %.0f |\n", row.name, size, count, name,
                      below.refused, above.passed);
        }
      }
    }
  }
}

}  // namespace
}  // namespace primroseweir::testing
