#include "primroseweir/configuration/detail/field_path.h"

namespace primroseweir::detail {

std::string FieldPath::ToString() const {
  if (parent_ == nullptr) return "";
  const std::string parent = parent_->ToString();
  if (name_.empty()) return parent + "[" + std::to_string(index_) + "]";
  const std::string name(name_.substr(0, 64));
  return parent.empty() ? name : parent + "." + name;
}

}  // namespace primroseweir::detail
