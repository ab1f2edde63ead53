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

// What one thread needs while it chooses.
struct Scratch {
  explicit Scratch(std::uint64_t seed) : random(seed) {}

  std::atomic<bool> busy{false};
  Random random;
  std::vector<Candidate> candidates;
  std::vector<const ServiceEntry::UsableUpstream*> usable_upstreams;
  std::unordered_map<std::uint64_t, std::unique_ptr<LoadBalancingPolicy>> policies;
};

// Lends each choosing thread one scratch area at a time, so that the memory depends on the number
// of processors and not of threads. Takes no lock: a busy area is passed over.
class ScratchPool {
 public:
  using PolicyMaker = std::function<std::unique_ptr<LoadBalancingPolicy>()>;

  ScratchPool(std::uint64_t seed, PolicyMaker make_policy);

  // A borrowed area; returns it when destroyed.
  class Loan {
   public:
    explicit Loan(Scratch* scratch) : scratch_(scratch) {}
    ~Loan() { scratch_->busy.store(false, std::memory_order_release); }
    Loan(const Loan&) = delete;
    Loan& operator=(const Loan&) = delete;
    Scratch& operator*() const { return *scratch_; }
    Scratch* operator->() const { return scratch_; }

   private:
    Scratch* scratch_;
  };

  Loan Borrow();

  // The policy of that service in the area.
  LoadBalancingPolicy& PolicyOf(Scratch* scratch, std::uint64_t service);

 private:
  const PolicyMaker make_policy_;
  std::vector<std::unique_ptr<Scratch>> areas_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_DETAIL_SCRATCH_POOL_H_
