#ifndef PRIMROSEWEIR_BASE_COMPACT_APPEND_H_
#define PRIMROSEWEIR_BASE_COMPACT_APPEND_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace primroseweir {

// Appends `piece` to `*text` and lets a large string grow by a quarter: std::string doubles, also
// in reserve(), so that up to half of what a peer makes a process hold would be unused. Amortised
// linear, as doubling is.
inline void AppendCompactly(std::string* text, std::string_view piece) {
  constexpr std::size_t kMinCompactBytes = std::size_t{16} * 1024;
  const auto size = text->size() + piece.size();
  if (size > text->capacity() && size > kMinCompactBytes) {
    std::string larger;
    larger.reserve(size + size / 4);
    larger.append(*text);
    *text = std::move(larger);
  }
  text->append(piece);
}

// Returns the bytes that `text` has allocated; short strings allocate none.
inline std::size_t AllocatedBytes(const std::string& text) {
  return text.capacity() >= sizeof(std::string) ? text.capacity() + 1 : 0;
}

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_COMPACT_APPEND_H_
