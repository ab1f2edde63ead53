#include "primroseweir/published/encoded_snapshot_cache.h"

#include "primroseweir/published/published_cache.h"
#include "primroseweir/published/published_snapshot.h"

namespace primroseweir {

const std::string& EncodedSnapshotCache::EncodeAfter(Revision after, Instant now) {
  const bool is_same_request =
      after == after_ && cache_->revision() == encoded_revision_ && !encoded_snapshot_.empty();
  if (!is_same_request || now - encoded_at_ > kMaxReuseAge) {
    after_ = after;
    encoded_revision_ = cache_->revision();
    encoded_at_ = now;
    encoded_snapshot_ = EncodePublishedSnapshot(cache_->SnapshotAfter(after, now));
  }
  return encoded_snapshot_;
}

}  // namespace primroseweir
