#ifndef PRIMROSEWEIR_PUBLISHED_ENCODED_SNAPSHOT_CACHE_H_
#define PRIMROSEWEIR_PUBLISHED_ENCODED_SNAPSHOT_CACHE_H_

#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

class PublishedCache;

// Encodes what peers ask of a cache. After a change many peers ask for the same difference, and
// encoding a large configuration takes milliseconds of a whole core, so the last one is kept.
class EncodedSnapshotCache {
 public:
  // `cache` outlives this object.
  explicit EncodedSnapshotCache(const PublishedCache* cache) : cache_(cache) {}

  // What changed after that revision, as of now or at most kMaxReuseAge ago.
  const std::string& EncodeAfter(Revision after, Instant now);

  // The times left of lapsed items are wrong by up to this much.
  static constexpr Duration kMaxReuseAge = std::chrono::milliseconds(200);

 private:
  const PublishedCache* const cache_;
  Revision after_;
  Revision at_;
  Instant encoded_;
  std::string text_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PUBLISHED_ENCODED_SNAPSHOT_CACHE_H_
