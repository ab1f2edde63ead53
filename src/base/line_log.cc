#include "primroseweir/base/line_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>

#include "primroseweir/base/event.h"

namespace primroseweir {

LineLog::LineLog(std::string process, int descriptor)
    : process_(std::move(process)), descriptor_(descriptor) {
  fcntl(descriptor_, F_SETFL, fcntl(descriptor_, F_GETFL) | O_NONBLOCK);
}

bool LineLog::TryAcquireCallLine(Instant now) {
  if (now - rate_window_start_ >= std::chrono::seconds(1)) {
    rate_window_start_ = now;
    call_lines_in_window_ = 0;
  }
  if (call_lines_in_window_ >= kMaxCallLinesPerSecond || buffer_.size() >= kCallBufferBytes) {
    return false;
  }
  ++call_lines_in_window_;
  return true;
}

void LineLog::WriteCall(std::string_view event, std::initializer_list<Field> fields, Instant now) {
  if (TryAcquireCallLine(now)) {
    Append(event, fields, now);
  } else {
    ++dropped_;
  }
}

void LineLog::Write(std::string_view event, std::initializer_list<Field> fields, Instant now) {
  if (buffer_.size() < kBufferBytes) {
    Append(event, fields, now);
  } else {
    ++dropped_;
  }
}

void LineLog::Append(std::string_view event, std::initializer_list<Field> fields, Instant now) {
  buffer_ += "time=" + std::to_string(WallMicroseconds()) +
             " up_us=" + std::to_string(ToMicroseconds(now.time_since_epoch()));
  AppendLogField("process", process_, &buffer_);
  AppendLogField("event", event, &buffer_);
  for (const auto& [key, value] : fields) {
    if (!key.empty()) {
      AppendLogField(key, value, &buffer_);
    }
  }
  if (dropped_ != reported_dropped_) {
    AppendLogField("lines_dropped", std::to_string(dropped_ - reported_dropped_), &buffer_);
    reported_dropped_ = dropped_;
  }
  buffer_ += '\n';
}

void LineLog::Flush() {
  if (buffer_.empty()) {
    return;
  }
  const auto written = write(descriptor_, buffer_.data(), buffer_.size());
  if (written > 0) {
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace primroseweir
