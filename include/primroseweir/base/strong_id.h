#ifndef PRIMROSEWEIR_BASE_STRONG_ID_H_
#define PRIMROSEWEIR_BASE_STRONG_ID_H_

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace primroseweir {

// String identifier with a type of its own per `Tag`, so that, for example, an upstream id can't be
// passed where a service name is expected.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const StrongId& a, const StrongId& b) { return a.value_ == b.value_; }
  friend bool operator!=(const StrongId& a, const StrongId& b) { return a.value_ != b.value_; }
  friend bool operator<(const StrongId& a, const StrongId& b) { return a.value_ < b.value_; }
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

}  // namespace primroseweir

namespace std {
template <typename Tag>
struct hash<primroseweir::StrongId<Tag>> {
  size_t operator()(const primroseweir::StrongId<Tag>& id) const {
    return hash<string>()(id.value());
  }
};
}  // namespace std

#endif  // PRIMROSEWEIR_BASE_STRONG_ID_H_
