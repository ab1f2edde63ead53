#ifndef PRIMROSEWEIR_PEER_TOKEN_BUCKET_H_
#define PRIMROSEWEIR_PEER_TOKEN_BUCKET_H_

#include "primroseweir/base/time.h"

namespace primroseweir {

// Token bucket that limits the bytes or datagrams sent. Not thread-safe.
class TokenBucket {
 public:
  // `rate` is in tokens per second. The bucket starts full.
  TokenBucket(double rate, double capacity, Instant now);

  // Returns the number of tokens available at `now`.
  double Level(Instant now);

  // Takes `tokens` from the bucket. Returns false and takes none when fewer are available.
  bool TryAcquire(double tokens, Instant now);

 private:
  const double rate_;
  const double capacity_;
  double level_;
  Instant last_refill_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_TOKEN_BUCKET_H_
