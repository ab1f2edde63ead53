#include "primroseweir/peer/token_bucket.h"

#include <algorithm>

namespace primroseweir {

TokenBucket::TokenBucket(double rate, double capacity, Instant now)
    : rate_(rate), capacity_(capacity), level_(capacity), last_refill_(now) {}

double TokenBucket::Level(Instant now) {
  const std::chrono::duration<double> elapsed = now - last_refill_;
  if (elapsed.count() <= 0) return level_;
  level_ = std::min(capacity_, level_ + elapsed.count() * rate_);
  last_refill_ = now;
  return level_;
}

bool TokenBucket::TryAcquire(double tokens, Instant now) {
  if (Level(now) < tokens) return false;
  level_ -= tokens;
  return true;
}

}  // namespace primroseweir
