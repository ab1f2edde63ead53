#include "primroseweir/loop/event_loop.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace primroseweir {

EventLoop::EventLoop() {
  uv_loop_init(&loop_);
  uv_loop_configure(&loop_, UV_METRICS_IDLE_TIME);
  loop_.data = prepare_.data = check_.data = this;
  uv_prepare_init(&loop_, &prepare_);
  uv_prepare_start(&prepare_, [](uv_prepare_t* handle) {
    static_cast<EventLoop*>(handle->data)->MeasureTurn();
  });
  uv_check_init(&loop_, &check_);
  uv_check_start(&check_, [](uv_check_t* handle) {
    auto& connections = static_cast<EventLoop*>(handle->data)->connections_;
    if (connections.has_work()) {
      connections.RelieveMemory(Now());
    }
  });
  // The loop ends when nothing else is left.
  uv_unref(reinterpret_cast<uv_handle_t*>(&prepare_));
  uv_unref(reinterpret_cast<uv_handle_t*>(&check_));
}

EventLoop::~EventLoop() {
  uv_close(reinterpret_cast<uv_handle_t*>(&prepare_), nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&check_), nullptr);
  // The owners have already closed their handles; this runs the callbacks that free them.
  uv_run(&loop_, UV_RUN_NOWAIT);
  uv_loop_close(&loop_);
}

void EventLoop::Run() { uv_run(&loop_, UV_RUN_DEFAULT); }

void EventLoop::MeasureTurn() {
  ++turn_;
  const auto now = uv_hrtime();
  const auto idle_time = uv_metrics_idle_time(&loop_);
  if (turn_started_ != 0) {
    const auto waited = idle_time - idle_time_;
    longest_turn_ =
        std::max(longest_turn_, now - turn_started_ - std::min(waited, now - turn_started_));
  }
  turn_started_ = now;
  idle_time_ = idle_time;
}

Duration EventLoop::TakeLongestTurn() {
  return std::chrono::duration_cast<Duration>(
      std::chrono::nanoseconds(std::exchange(longest_turn_, 0)));
}

Instant EventLoop::Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace primroseweir
