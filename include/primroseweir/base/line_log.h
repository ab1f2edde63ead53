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

// Writes key=value lines to a descriptor without ever blocking. Lines wait in a bounded buffer
// until Flush; lines beyond the buffer are dropped, and the next line that fits says how many were.
// Lines about single calls also have a rate and leave part of the buffer free, so that a flood of
// calls does not displace the lines about the state.
class LineLog {
 public:
  using Field = std::pair<std::string_view, std::string_view>;

  // `process` is written into each line. The descriptor is made non-blocking.
  LineLog(std::string process, int descriptor);

  // Appends `time=... process=... event=NAME key=value ...`. `time` is the time of day in
  // microseconds, `up` the time since the machine started, which no clock step changes.
  void Write(std::string_view event, std::initializer_list<Field> fields, Instant now);
  // As Write, for a line about a single call.
  void WriteCall(std::string_view event, std::initializer_list<Field> fields, Instant now);

  // Hands buffered lines to the descriptor; what it does not take stays.
  void Flush();

  std::uint64_t dropped() const { return dropped_; }

  static constexpr std::size_t kBufferBytes = std::size_t{128} * 1024;
  // Part of the buffer that lines about calls may fill.
  static constexpr std::size_t kCallBytes = kBufferBytes / 2;
  // Lines about calls a second; a busy instance serves a few hundred calls a second.
  static constexpr std::uint32_t kLinesPerSecond = 1000;

 private:
  bool TryAcquireCallLine(Instant now);
  void Append(std::string_view event, std::initializer_list<Field> fields, Instant now);

  const std::string process_;
  const int descriptor_;
  std::string buffer_;
  Instant second_;
  std::uint32_t lines_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_LINE_LOG_H_
