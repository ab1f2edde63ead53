#ifndef PRIMROSEWEIR_PUBLISHED_ENCODED_SNAPSHOT_CACHE_H_
#define PRIMROSEWEIR_PUBLISHED_ENCODED_SNAPSHOT_CACHE_H_

#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

class PublishedCache;

// Encodes snapshots of a PublishedCache for peers. After a change many peers request the same
// difference, and encoding a large configuration takes milliseconds of a whole core, so the last
// encoded snapshot is cached.
class EncodedSnapshotCache {
 public:
  // `cache` outlives this object.
  explicit EncodedSnapshotCache(const PublishedCache* cache) : cache_(cache) {}

  // Returns the encoded changes after revision `after`, as of now or of at most kMaxReuseAge ago.
  // The reference holds until the next call.
  const std::string& EncodeAfter(Revision after, Instant now);

  // In a reused snapshot, the remaining times of items with expired leases are too long by up to
  // this much.
  static constexpr Duration kMaxReuseAge = std::chrono::milliseconds(200);

 private:
  const PublishedCache* const cache_;
  Revision after_;
  Revision at_;
  Instant encoded_;
  std::string encoded_snapshot_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PUBLISHED_ENCODED_SNAPSHOT_CACHE_H_
