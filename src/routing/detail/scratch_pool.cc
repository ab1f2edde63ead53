#include "primroseweir/routing/detail/scratch_pool.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace primroseweir {
namespace detail {
namespace {

// Spreads threads over the areas.
std::size_t ThreadNumber() {
  static std::atomic<std::size_t> next{0};
  thread_local std::size_t number = next.fetch_add(1, std::memory_order_relaxed);
  return number;
}

}  // namespace

ScratchPool::ScratchPool(std::uint64_t seed, PolicyMaker make_policy)
    : make_policy_(std::move(make_policy)) {
  // More areas than processors: a thread may lose its processor while it holds one.
  const std::size_t count = std::size_t{2} * std::max(std::thread::hardware_concurrency(), 1U);
  for (std::size_t i = 0; i < count; ++i) areas_.push_back(std::make_unique<Scratch>(seed + i));
}

ScratchPool::Loan ScratchPool::Borrow() {
  for (std::size_t i = ThreadNumber();; ++i) {
    Scratch* scratch = areas_[i % areas_.size()].get();
    if (!scratch->busy.exchange(true, std::memory_order_acquire)) return Loan(scratch);
  }
}

LoadBalancingPolicy& ScratchPool::PolicyOf(Scratch* scratch, std::uint64_t service) {
  std::unique_ptr<LoadBalancingPolicy>& policy = scratch->policies[service];
  if (policy == nullptr) policy = make_policy_();
  return *policy;
}

}  // namespace detail
}  // namespace primroseweir
