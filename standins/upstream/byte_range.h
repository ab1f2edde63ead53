#ifndef STANDINS_UPSTREAM_BYTE_RANGE_H_
#define STANDINS_UPSTREAM_BYTE_RANGE_H_

#include <cstdint>
#include <optional>
#include <string>

namespace primroseweir::standins {

// Bytes `first` to, but not including, `end`.
struct ByteRange {
  std::uint64_t first = 0;
  std::uint64_t end = 0;
};

// Reads a field Range of the forms "bytes=A-" and "bytes=A-B"; nothing for other forms and for a
// range outside `size`.
std::optional<ByteRange> ParseRange(const std::string& field, std::uint64_t size);

// The field Content-Range.
std::string FormatContentRange(const ByteRange& range, std::uint64_t size);

}  // namespace primroseweir::standins

#endif  // STANDINS_UPSTREAM_BYTE_RANGE_H_
