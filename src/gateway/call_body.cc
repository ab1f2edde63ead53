#include "primroseweir/gateway/call_body.h"

namespace primroseweir {

void CallBody::Append(std::string_view piece, bool last) {
  AppendCompactly(&buffered_, piece);
  is_complete_ = last;
}

void CallBody::DiscardBefore(std::size_t offset) {
  if (offset > discarded_) {
    buffered_.erase(0, offset - discarded_);
    buffered_.shrink_to_fit();
    discarded_ = offset;
  }
}

}  // namespace primroseweir
