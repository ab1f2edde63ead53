#include "upstream/byte_range.h"

#include <algorithm>
#include <charconv>

namespace primroseweir::standins {

std::optional<ByteRange> ParseRange(const std::string& field, std::uint64_t size) {
  constexpr char kUnit[] = "bytes=";
  if (field.rfind(kUnit, 0) != 0) return std::nullopt;
  const char* begin = field.data() + sizeof(kUnit) - 1;
  const char* text_end = field.data() + field.size();
  ByteRange range{0, size};
  const auto first = std::from_chars(begin, text_end, range.first);
  if (first.ec != std::errc() || first.ptr == text_end || *first.ptr != '-') return std::nullopt;
  if (first.ptr + 1 != text_end) {
    const auto end = std::from_chars(first.ptr + 1, text_end, range.end);
    if (end.ec != std::errc() || end.ptr != text_end) return std::nullopt;
    range.end = std::min(size, range.end + 1);
  }
  if (range.first >= range.end) return std::nullopt;
  return range;
}

std::string FormatContentRange(const ByteRange& range, std::uint64_t size) {
  return "bytes " + std::to_string(range.first) + "-" + std::to_string(range.end - 1) + "/" +
         std::to_string(size);
}

}  // namespace primroseweir::standins
