#include "primroseweir/published/encoded_copies.h"

#include "primroseweir/published/published_cache.h"
#include "primroseweir/published/published_copy.h"

namespace primroseweir {

const std::string& EncodedCopies::After(Revision after, Instant now) {
  const bool same = after == after_ && cache_->at() == at_ && !text_.empty();
  if (!same || now - encoded_ > kReuse) {
    after_ = after;
    at_ = cache_->at();
    encoded_ = now;
    text_ = EncodePublishedCopy(cache_->CopyAfter(after, now));
  }
  return text_;
}

}  // namespace primroseweir
