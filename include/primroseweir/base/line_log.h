#ifndef PRIMROSEWEIR_BASE_LINE_LOG_H_
#define PRIMROSEWEIR_BASE_LINE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Writes key=value lines to a file descriptor without blocking. Lines are buffered until Flush.
// When the buffer is full, lines are dropped, and the next line that is written reports their
// number. Lines about single calls are also rate-limited and may fill only part of the buffer, so
// that a flood of calls does not displace lines about the state of the process. Not thread-safe.
class LineLog {
 public:
  using Field = std::pair<std::string_view, std::string_view>;

  // `process` is the value of the field `process` of each line. Sets `descriptor` to non-blocking
  // mode; does not close it.
  LineLog(std::string process, int descriptor);

  // Appends `time=... up_us=... process=... event=NAME key=value ...`. `time` is the wall time in
  // microseconds. `up_us` is `now` in microseconds since the machine started, which a step of the
  // wall clock does not change. A field with an empty name is omitted.
  void Write(std::string_view event, std::initializer_list<Field> fields, Instant now);
  // Like Write, for a line about a single call. Drops the line if kMaxCallLinesPerSecond or
  // kCallBufferBytes is reached.
  void WriteCall(std::string_view event, std::initializer_list<Field> fields, Instant now);

  // Writes buffered lines to the descriptor. Bytes that it does not accept stay buffered.
  void Flush();

  // Number of lines dropped so far.
  std::uint64_t dropped() const { return dropped_; }

  // Lines are dropped while the buffer holds at least this much.
  static constexpr std::size_t kBufferBytes = std::size_t{128} * 1024;
  // Part of the buffer that lines about calls may fill.
  static constexpr std::size_t kCallBufferBytes = kBufferBytes / 2;
  // Above the load of a busy instance, which serves a few hundred calls per second.
  static constexpr std::uint32_t kMaxCallLinesPerSecond = 1000;

 private:
  bool TryAcquireCallLine(Instant now);
  void Append(std::string_view event, std::initializer_list<Field> fields, Instant now);

  const std::string process_;
  const int descriptor_;
  std::string buffer_;
  // Start of the one-second window of the rate limit.
  Instant rate_window_start_;
  std::uint32_t call_lines_in_window_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_LINE_LOG_H_
