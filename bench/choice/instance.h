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

// What one entry instance knows about the upstreams, and its choices.
class Instance {
 public:
  // A null policy chooses as an oracle that sees the upstreams' true state.
  Instance(std::unique_ptr<LoadBalancingPolicy> policy, std::vector<FakeUpstream*> upstreams,
           std::vector<std::uint32_t> owned_slots, std::uint64_t seed);
  ~Instance();

  // Position of the upstream for the next call; `excluded` is left out unless it is the only one.
  std::size_t Pick(Instant now, std::size_t excluded = kNone);

  void RecordSent(std::size_t upstream);
  void RecordEnded(std::size_t upstream, Duration latency, const FakeUpstream::Report& report,
                   Instant now);
  void RecordRefused(std::size_t upstream, Instant now);
  // An attempt was given up after `elapsed`; a time above the average raises it, since otherwise
  // the hedges would hide a slow upstream.
  void RecordCancelled(std::size_t upstream, Duration elapsed, Instant now);

  // Whether this instance has a free slot of its own elsewhere; a hedge is sent only then.
  bool HasFreeOwnedSlot(std::size_t excluded) const;

  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

 private:
  struct View {
    std::uint32_t owned_slots = 0;
    std::uint32_t in_flight = 0;
    bool has_report = false;
    FakeUpstream::Report report;
    std::uint32_t sent_since = 0;
    std::uint32_t ended_since = 0;
    double latency_microseconds = 0;
    Instant refused;
    bool was_refused = false;

    Instant latency_changed;

    void AddLatency(double microseconds, Instant now);
  };

  std::size_t PickAsOracle(std::size_t excluded);
  Candidate MakeCandidate(std::size_t upstream, Instant now) const;

  std::unique_ptr<LoadBalancingPolicy> policy_;
  std::vector<FakeUpstream*> upstreams_;
  std::vector<View> views_;
  std::vector<Candidate> candidates_;
  Random random_;
};

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_INSTANCE_H_
