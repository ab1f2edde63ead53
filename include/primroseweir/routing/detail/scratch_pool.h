#ifndef PRIMROSEWEIR_ROUTING_DETAIL_SCRATCH_POOL_H_
#define PRIMROSEWEIR_ROUTING_DETAIL_SCRATCH_POOL_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/routing/candidate.h"
#include "primroseweir/routing/load_balancing_policy.h"
#include "primroseweir/routing/routing_table.h"

namespace primroseweir {
namespace detail {

// Buffers, random generator and policies that a thread uses during a pick.
struct Scratch {
  explicit Scratch(std::uint64_t seed) : random(seed) {}

  std::atomic<bool> busy{false};
  Random random;
  std::vector<Candidate> candidates;
  std::vector<const ServiceEntry::UsableUpstream*> usable_upstreams;
  std::unordered_map<std::uint64_t, std::unique_ptr<LoadBalancingPolicy>> policies;
};

// Lends one scratch area at a time to each thread that picks an upstream, so that the memory
// depends on the number of processors rather than threads. Takes no lock: areas in use are skipped.
class ScratchPool {
 public:
  using PolicyFactory = std::function<std::unique_ptr<LoadBalancingPolicy>()>;

  ScratchPool(std::uint64_t seed, PolicyFactory make_policy);

  // Holds a borrowed area and returns it to the pool when destroyed.
  class Handle {
   public:
    explicit Handle(Scratch* scratch) : scratch_(scratch) {}
    ~Handle() { scratch_->busy.store(false, std::memory_order_release); }
    Handle(const Handle&) = delete;
    Handle& operator=(const Handle&) = delete;
    Scratch& operator*() const { return *scratch_; }
    Scratch* operator->() const { return scratch_; }

   private:
    Scratch* scratch_;
  };

  Handle Borrow();

  // Returns the policy of that service in `scratch`; creates it at the first use.
  LoadBalancingPolicy& PolicyOf(Scratch* scratch, std::uint64_t service_number);

 private:
  const PolicyFactory make_policy_;
  std::vector<std::unique_ptr<Scratch>> areas_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_DETAIL_SCRATCH_POOL_H_
