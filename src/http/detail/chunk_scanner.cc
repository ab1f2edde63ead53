#include "primroseweir/http/detail/chunk_scanner.h"

#include <algorithm>

namespace primroseweir::detail {
namespace {

// Limit of one chunk size line, and of all trailers together.
constexpr std::size_t kMaxLineBytes = 4096;
constexpr std::uint64_t kMaxChunkBytes = std::uint64_t{1} << 60;

absl::Status Malformed() { return absl::InvalidArgumentError("malformed chunk"); }

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const char lower = static_cast<char>(c | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool IsText(char c) { return c == '\t' || (static_cast<unsigned char>(c) >= 32 && c != 127); }

}  // namespace

absl::Status ChunkScanner::Scan(const char* data, std::size_t size) {
  std::size_t position = 0;
  while (position < size && state_ != State::kDone) {
    if (state_ == State::kData) {
      position += SkipData(size - position);
      continue;
    }
    auto status = ScanByte(data[position++]);
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

std::size_t ChunkScanner::SkipData(std::size_t available) {
  const auto count = std::min<std::uint64_t>(available, chunk_bytes_left_);
  chunk_bytes_left_ -= count;
  if (chunk_bytes_left_ == 0) {
    state_ = State::kDataCarriageReturn;
  }
  return static_cast<std::size_t>(count);
}

absl::Status ChunkScanner::ScanByte(char c) {
  if (++line_bytes_ > kMaxLineBytes) {
    return Malformed();
  }
  switch (state_) {
    case State::kSizeStart:
    case State::kSize:
      return ScanSizeDigit(c);
    case State::kExtension:
      return c == '\r' || IsText(c) ? ScanSizeEnd(c) : Malformed();
    case State::kSizeLineFeed:
      line_bytes_ = 0;
      return Expect(c, '\n', chunk_bytes_left_ == 0 ? State::kTrailerStart : State::kData);
    case State::kDataCarriageReturn:
      return Expect(c, '\r', State::kDataLineFeed);
    case State::kDataLineFeed:
      line_bytes_ = 0;
      return Expect(c, '\n', State::kSizeStart);
    case State::kTrailerStart:
      return ScanTrailer(c, State::kLastLineFeed);
    case State::kTrailer:
      return ScanTrailer(c, State::kTrailerLineFeed);
    case State::kTrailerLineFeed:
      return Expect(c, '\n', State::kTrailerStart);
    case State::kLastLineFeed:
      return Expect(c, '\n', State::kDone);
    case State::kData:
    case State::kDone:
      break;
  }
  return absl::OkStatus();
}

absl::Status ChunkScanner::ScanSizeDigit(char c) {
  const int digit = HexDigit(c);
  if (digit < 0) {
    return state_ == State::kSize ? ScanSizeEnd(c) : Malformed();
  }
  chunk_bytes_left_ = chunk_bytes_left_ * 16 + static_cast<std::uint64_t>(digit);
  state_ = State::kSize;
  return chunk_bytes_left_ > kMaxChunkBytes ? Malformed() : absl::OkStatus();
}

absl::Status ChunkScanner::ScanSizeEnd(char c) {
  if (c == '\r') {
    state_ = State::kSizeLineFeed;
    return absl::OkStatus();
  }
  const bool is_in_extension = state_ == State::kExtension;
  state_ = State::kExtension;
  return is_in_extension || c == ';' ? absl::OkStatus() : Malformed();
}

absl::Status ChunkScanner::Expect(char c, char expected, State next) {
  state_ = next;
  return c == expected ? absl::OkStatus() : Malformed();
}

absl::Status ChunkScanner::ScanTrailer(char c, State state_after_line) {
  if (c == '\r') {
    state_ = state_after_line;
    return absl::OkStatus();
  }
  const bool is_folded = state_ == State::kTrailerStart && (c == ' ' || c == '\t');
  state_ = State::kTrailer;
  return IsText(c) && !is_folded ? absl::OkStatus() : Malformed();
}

}  // namespace primroseweir::detail
