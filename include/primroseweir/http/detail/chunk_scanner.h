#ifndef PRIMROSEWEIR_HTTP_DETAIL_CHUNK_SCANNER_H_
#define PRIMROSEWEIR_HTTP_DETAIL_CHUNK_SCANNER_H_

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>

namespace primroseweir::detail {

// Validates the raw bytes of a chunked body. Needed because Debian builds http-parser without its
// strict mode; it then skips the bytes after a chunk and after a chunk size unchecked.
class ChunkScanner {
 public:
  void Reset() { *this = ChunkScanner(); }

  // Validates the next bytes, up to the end of the body. Returns InvalidArgument when they are
  // malformed. Linear in the number of bytes outside chunk data.
  absl::Status Scan(const char* data, std::size_t size);

 private:
  enum class State {
    kSizeStart,
    kSize,
    kExtension,
    kSizeLineFeed,
    kData,
    kDataCarriageReturn,
    kDataLineFeed,
    kTrailerStart,
    kTrailer,
    kTrailerLineFeed,
    kLastLineFeed,
    kDone
  };

  std::size_t SkipData(std::size_t available);
  absl::Status ScanByte(char c);
  absl::Status ScanSizeDigit(char c);
  absl::Status ScanSizeEnd(char c);
  absl::Status Expect(char c, char expected, State next);
  absl::Status ScanTrailer(char c, State state_after_line);

  State state_ = State::kSizeStart;
  std::uint64_t chunk_bytes_left_ = 0;
  std::size_t line_bytes_ = 0;
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_HTTP_DETAIL_CHUNK_SCANNER_H_
