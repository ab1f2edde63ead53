#include "primroseweir/loop/event_loop.h"

#include <ctime>

namespace primroseweir {

EventLoop::EventLoop() { uv_loop_init(&loop_); }

EventLoop::~EventLoop() {
  // The owners have already closed their handles; this runs the callbacks that free them.
  uv_run(&loop_, UV_RUN_NOWAIT);
  uv_loop_close(&loop_);
}

void EventLoop::Run() { uv_run(&loop_, UV_RUN_DEFAULT); }

Instant EventLoop::Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace primroseweir
