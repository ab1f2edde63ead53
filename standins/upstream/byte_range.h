#ifndef STANDINS_UPSTREAM_BYTE_RANGE_H_
#define STANDINS_UPSTREAM_BYTE_RANGE_H_

#include <cstdint>
#include <optional>
#include <string>

namespace primroseweir::standins {

// The bytes from `first` up to, but not including, `end`.
struct ByteRange {
  std::uint64_t first = 0;
  std::uint64_t end = 0;
};

// Parses the value of a field Range of the form "bytes=A-" or "bytes=A-B". Returns nullopt for
// other forms and for a range that is empty or starts beyond `size` bytes.
std::optional<ByteRange> ParseRange(const std::string& field, std::uint64_t size);

// Formats the value of the field Content-Range.
std::string FormatContentRange(const ByteRange& range, std::uint64_t size);

}  // namespace primroseweir::standins

#endif  // STANDINS_UPSTREAM_BYTE_RANGE_H_
