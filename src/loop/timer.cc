#include "primroseweir/loop/timer.h"

#include <uv.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "primroseweir/loop/event_loop.h"

namespace primroseweir {

// Lives until libuv has closed the handle, which is after the timer's destruction.
struct Timer::Handle {
  uv_timer_t uv{};
  Callback callback;
  bool is_closed = false;

  static void Fire(uv_timer_t* timer) {
    auto* self = static_cast<Handle*>(timer->data);
    if (!self->is_closed) {
      self->callback();
    }
  }
  static void Delete(uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); }
};

namespace {

std::uint64_t CeilToMilliseconds(Duration duration) {
  const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(rounded, 0));
}

}  // namespace

Timer::Timer(EventLoop* loop, Callback callback) : handle_(new Handle) {
  handle_->callback = std::move(callback);
  handle_->uv.data = handle_;
  uv_timer_init(loop->uv(), &handle_->uv);
}

Timer::~Timer() {
  handle_->is_closed = true;
  uv_close(reinterpret_cast<uv_handle_t*>(&handle_->uv), &Handle::Delete);
}

void Timer::Start(Duration delay) {
  uv_update_time(handle_->uv.loop);
  uv_timer_start(&handle_->uv, &Handle::Fire, CeilToMilliseconds(delay), 0);
}

void Timer::Repeat(Duration period) {
  uv_timer_start(&handle_->uv, &Handle::Fire, CeilToMilliseconds(period),
                 CeilToMilliseconds(period));
}

void Timer::Cancel() { uv_timer_stop(&handle_->uv); }

}  // namespace primroseweir
