#ifndef BENCH_CHOICE_INSTANCE_H_
#define BENCH_CHOICE_INSTANCE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "bench/choice/fake_upstream.h"
#include "primroseweir/base/random.h"
#include "primroseweir/base/time.h"
#include "primroseweir/routing/candidate.h"

namespace primroseweir {
class LoadBalancingPolicy;
}

namespace primroseweir::bench {

// Simulated entry instance: records what it observes of the upstreams and picks one for each call.
class Instance {
 public:
  // A null policy stands for the oracle, which picks by the upstreams' true state. The upstreams
  // must outlive the instance.
  Instance(std::unique_ptr<LoadBalancingPolicy> policy, std::vector<FakeUpstream*> upstreams,
           std::vector<std::uint32_t> owned_slots, std::uint64_t seed);
  ~Instance();

  // Returns the index of the upstream for the next attempt. It is not `excluded`, so there must be
  // another upstream.
  std::size_t Pick(Instant now, std::size_t excluded = kNoUpstream);

  void RecordSent(std::size_t upstream);
  void RecordEnded(std::size_t upstream, Duration latency, const FakeUpstream::Report& report,
                   Instant now);
  void RecordRefused(std::size_t upstream, Instant now);
  // Records an attempt that was cancelled after `elapsed`. An elapsed time above the latency
  // average raises the average, since otherwise hedging would hide a slow upstream.
  void RecordCancelled(std::size_t upstream, Duration elapsed, Instant now);

  // Returns whether an upstream other than `excluded` has a free slot that this instance owns.
  // Hedges require one if Scenario::hedge_onto_owned_only is set.
  bool HasFreeOwnedSlot(std::size_t excluded) const;

  static constexpr std::size_t kNoUpstream = static_cast<std::size_t>(-1);

 private:
  struct UpstreamView {
    std::uint32_t owned_slots = 0;
    std::uint32_t in_flight = 0;
    bool has_report = false;
    FakeUpstream::Report report;
    std::uint32_t sent_since_report = 0;
    std::uint32_t ended_since_report = 0;
    double latency_microseconds = 0;
    Instant last_refused_at;
    bool was_refused = false;

    Instant latency_changed_at;

    void RecordLatency(double microseconds, Instant now);
  };

  std::size_t PickAsOracle(std::size_t excluded);
  Candidate MakeCandidate(std::size_t upstream, Instant now) const;

  std::unique_ptr<LoadBalancingPolicy> policy_;
  std::vector<FakeUpstream*> upstreams_;
  std::vector<UpstreamView> views_;
  std::vector<Candidate> candidates_;
  Random random_;
};

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_INSTANCE_H_
