#include "primroseweir/gateway/call_body.h"

namespace primroseweir {

void CallBody::Append(std::string_view piece, bool last) {
  held_.append(piece);
  whole_ = last;
}

void CallBody::DropBefore(std::size_t position) {
  if (position > dropped_) {
    held_.erase(0, position - dropped_);
    held_.shrink_to_fit();
    dropped_ = position;
  }
}

}  // namespace primroseweir
