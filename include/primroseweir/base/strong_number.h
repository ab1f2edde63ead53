#ifndef PRIMROSEWEIR_BASE_STRONG_NUMBER_H_
#define PRIMROSEWEIR_BASE_STRONG_NUMBER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>

namespace primroseweir {

// Ordered number with a type of its own per `Tag`, such as a revision or an epoch.
template <typename Tag>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::uint64_t value) : value_(value) {}

  constexpr std::uint64_t value() const { return value_; }
  constexpr StrongNumber Next() const { return StrongNumber(value_ + 1); }

  friend constexpr bool operator==(StrongNumber a, StrongNumber b) { return a.value_ == b.value_; }
  friend constexpr bool operator!=(StrongNumber a, StrongNumber b) { return a.value_ != b.value_; }
  friend constexpr bool operator<(StrongNumber a, StrongNumber b) { return a.value_ < b.value_; }
  friend constexpr bool operator<=(StrongNumber a, StrongNumber b) { return a.value_ <= b.value_; }
  friend constexpr bool operator>(StrongNumber a, StrongNumber b) { return a.value_ > b.value_; }
  friend constexpr bool operator>=(StrongNumber a, StrongNumber b) { return a.value_ >= b.value_; }
  friend std::ostream& operator<<(std::ostream& out, StrongNumber n) { return out << n.value_; }

 private:
  std::uint64_t value_ = 0;
};

}  // namespace primroseweir

namespace std {
template <typename Tag>
struct hash<primroseweir::StrongNumber<Tag>> {
  size_t operator()(primroseweir::StrongNumber<Tag> n) const { return hash<uint64_t>()(n.value()); }
};
}  // namespace std

#endif  // PRIMROSEWEIR_BASE_STRONG_NUMBER_H_
