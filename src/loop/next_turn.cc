#include "primroseweir/loop/next_turn.h"

#include <uv.h>

#include <utility>

#include "primroseweir/loop/event_loop.h"

namespace primroseweir {

// Lives until libuv has closed the handle, which is after the owner's destruction.
struct NextTurn::Handle {
  uv_idle_t uv{};
  Callback callback;
  bool is_closed = false;

  static void Run(uv_idle_t* idle) {
    auto* self = static_cast<Handle*>(idle->data);
    uv_idle_stop(idle);
    if (!self->is_closed) {
      self->callback();
    }
  }
};

NextTurn::NextTurn(EventLoop* loop, Callback callback) : handle_(new Handle) {
  handle_->callback = std::move(callback);
  handle_->uv.data = handle_;
  uv_idle_init(loop->uv(), &handle_->uv);
}

NextTurn::~NextTurn() {
  handle_->is_closed = true;
  uv_close(reinterpret_cast<uv_handle_t*>(&handle_->uv),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

void NextTurn::Start() { uv_idle_start(&handle_->uv, &Handle::Run); }

}  // namespace primroseweir
