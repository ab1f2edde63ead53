#include "primroseweir/published/encoded_snapshot_cache.h"

#include "primroseweir/published/published_cache.h"
#include "primroseweir/published/published_snapshot.h"

namespace primroseweir {

const std::string& EncodedSnapshotCache::EncodeAfter(Revision after, Instant now) {
  const bool same = after == after_ && cache_->at() == encoded_revision_ && !text_.empty();
  if (!same || now - encoded_at_ > kMaxReuseAge) {
    after_ = after;
    encoded_revision_ = cache_->at();
    encoded_at_ = now;
    text_ = EncodePublishedSnapshot(cache_->SnapshotAfter(after, now));
  }
  return text_;
}

}  // namespace primroseweir
