#include "primroseweir/published/encoded_snapshot_cache.h"

#include "primroseweir/published/published_cache.h"
#include "primroseweir/published/published_snapshot.h"

namespace primroseweir {

const std::string& EncodedSnapshotCache::EncodeAfter(Revision after, Instant now) {
  const bool same = after == after_ && cache_->at() == at_ && !text_.empty();
  if (!same || now - encoded_ > kMaxReuseAge) {
    after_ = after;
    at_ = cache_->at();
    encoded_ = now;
    text_ = EncodePublishedSnapshot(cache_->SnapshotAfter(after, now));
  }
  return text_;
}

}  // namespace primroseweir
