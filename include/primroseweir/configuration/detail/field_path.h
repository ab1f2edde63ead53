#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_FIELD_PATH_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_FIELD_PATH_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace primroseweir::detail {

// Path of a field within a value. Points to its parent, which must outlive it, so that the text is
// built only when an error is reported.
class FieldPath {
 public:
  FieldPath() = default;

  FieldPath Member(std::string_view name) const { return {this, name, 0}; }
  FieldPath Element(std::size_t index) const { return {this, {}, index}; }

  std::string ToString() const;

 private:
  FieldPath(const FieldPath* parent, std::string_view name, std::size_t index)
      : parent_(parent), name_(name), index_(index) {}

  const FieldPath* parent_ = nullptr;
  std::string_view name_;
  std::size_t index_ = 0;
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_FIELD_PATH_H_
