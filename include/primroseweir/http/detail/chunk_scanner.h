#ifndef PRIMROSEWEIR_HTTP_DETAIL_CHUNK_SCANNER_H_
#define PRIMROSEWEIR_HTTP_DETAIL_CHUNK_SCANNER_H_

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>

namespace primroseweir::detail {

// Checks the raw bytes of a chunked body. Debian builds http-parser without its strict mode, which
// then skips the bytes after a chunk and after a chunk size without looking at them.
class ChunkScanner {
 public:
  void Reset() { *this = ChunkScanner(); }

  // Reads up to the end of the body. InvalidArgument names the fault. Linear in the bytes outside
  // of chunk data.
  absl::Status Scan(const char* data, std::size_t size);

 private:
  enum class State {
    kSizeStart,
    kSize,
    kExtension,
    kSizeLineFeed,
    kData,
    kDataReturn,
    kDataLineFeed,
    kTrailerStart,
    kTrailer,
    kTrailerLineFeed,
    kLastLineFeed,
    kDone
  };

  std::size_t SkipData(std::size_t available);
  absl::Status Next(char c);
  absl::Status SizeDigit(char c);
  absl::Status EndOfSize(char c);
  absl::Status Expect(char c, char expected, State next);
  absl::Status Trailer(char c, State after_return);

  State state_ = State::kSizeStart;
  std::uint64_t left_ = 0;
  std::size_t line_bytes_ = 0;
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_HTTP_DETAIL_CHUNK_SCANNER_H_
