#ifndef PRIMROSEWEIR_PEER_TOKEN_BUCKET_H_
#define PRIMROSEWEIR_PEER_TOKEN_BUCKET_H_

#include "primroseweir/base/time.h"

namespace primroseweir {

// Token bucket for bytes or datagrams sent. Not safe for several threads.
class TokenBucket {
 public:
  // `rate` is in tokens per second. The bucket starts full.
  TokenBucket(double rate, double capacity, Instant now);

  // Tokens there at `now`.
  double Level(Instant now);

  // Takes `tokens`, or nothing and answers false when there are fewer.
  bool TryAcquire(double tokens, Instant now);

 private:
  const double rate_;
  const double capacity_;
  double level_;
  Instant updated_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_TOKEN_BUCKET_H_
