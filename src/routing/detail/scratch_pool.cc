#include "primroseweir/routing/detail/scratch_pool.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace primroseweir {
namespace detail {
namespace {

// Returns a number per thread, which spreads the threads over the scratch areas.
std::size_t ThreadNumber() {
  static std::atomic<std::size_t> next{0};
  thread_local std::size_t number = next.fetch_add(1, std::memory_order_relaxed);
  return number;
}

}  // namespace

ScratchPool::ScratchPool(std::uint64_t seed, PolicyFactory make_policy)
    : make_policy_(std::move(make_policy)) {
  // More areas than processors, because a thread may be preempted while it holds one.
  const std::size_t count = std::size_t{2} * std::max(std::thread::hardware_concurrency(), 1U);
  for (std::size_t i = 0; i < count; ++i) areas_.push_back(std::make_unique<Scratch>(seed + i));
}

ScratchPool::Handle ScratchPool::Borrow() {
  for (std::size_t i = ThreadNumber();; ++i) {
    Scratch* scratch = areas_[i % areas_.size()].get();
    if (!scratch->busy.exchange(true, std::memory_order_acquire)) return Handle(scratch);
  }
}

LoadBalancingPolicy& ScratchPool::PolicyOf(Scratch* scratch, std::uint64_t service_number) {
  std::unique_ptr<LoadBalancingPolicy>& policy = scratch->policies[service_number];
  if (policy == nullptr) policy = make_policy_();
  return *policy;
}

}  // namespace detail
}  // namespace primroseweir
