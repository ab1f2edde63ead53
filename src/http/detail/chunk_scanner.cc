#include "primroseweir/http/detail/chunk_scanner.h"

#include <algorithm>

namespace primroseweir::detail {
namespace {

// Bound of one size line and of all trailers together.
constexpr std::size_t kMaxLineBytes = 4096;
constexpr std::uint64_t kMaxChunk = std::uint64_t{1} << 60;

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
    auto status = Next(data[position++]);
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

std::size_t ChunkScanner::SkipData(std::size_t available) {
  const auto count = std::min<std::uint64_t>(available, left_);
  left_ -= count;
  if (left_ == 0) {
    state_ = State::kDataReturn;
  }
  return static_cast<std::size_t>(count);
}

absl::Status ChunkScanner::Next(char c) {
  if (++line_bytes_ > kMaxLineBytes) {
    return Malformed();
  }
  switch (state_) {
    case State::kSizeStart:
    case State::kSize:
      return SizeDigit(c);
    case State::kExtension:
      return c == '\r' || IsText(c) ? EndOfSize(c) : Malformed();
    case State::kSizeLineFeed:
      line_bytes_ = 0;
      return Expect(c, '\n', left_ == 0 ? State::kTrailerStart : State::kData);
    case State::kDataReturn:
      return Expect(c, '\r', State::kDataLineFeed);
    case State::kDataLineFeed:
      line_bytes_ = 0;
      return Expect(c, '\n', State::kSizeStart);
    case State::kTrailerStart:
      return Trailer(c, State::kLastLineFeed);
    case State::kTrailer:
      return Trailer(c, State::kTrailerLineFeed);
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

absl::Status ChunkScanner::SizeDigit(char c) {
  const int digit = HexDigit(c);
  if (digit < 0) {
    return state_ == State::kSize ? EndOfSize(c) : Malformed();
  }
  left_ = left_ * 16 + static_cast<std::uint64_t>(digit);
  state_ = State::kSize;
  return left_ > kMaxChunk ? Malformed() : absl::OkStatus();
}

absl::Status ChunkScanner::EndOfSize(char c) {
  if (c == '\r') {
    state_ = State::kSizeLineFeed;
    return absl::OkStatus();
  }
  const bool in_extension = state_ == State::kExtension;
  state_ = State::kExtension;
  return in_extension || c == ';' ? absl::OkStatus() : Malformed();
}

absl::Status ChunkScanner::Expect(char c, char expected, State next) {
  state_ = next;
  return c == expected ? absl::OkStatus() : Malformed();
}

absl::Status ChunkScanner::Trailer(char c, State after_return) {
  if (c == '\r') {
    state_ = after_return;
    return absl::OkStatus();
  }
  const bool folded = state_ == State::kTrailerStart && (c == ' ' || c == '\t');
  state_ = State::kTrailer;
  return IsText(c) && !folded ? absl::OkStatus() : Malformed();
}

}  // namespace primroseweir::detail
