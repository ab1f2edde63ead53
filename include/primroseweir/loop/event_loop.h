#ifndef PRIMROSEWEIR_LOOP_EVENT_LOOP_H_
#define PRIMROSEWEIR_LOOP_EVENT_LOOP_H_

#include <uv.h>

#include "primroseweir/base/time.h"

namespace primroseweir {

// One event loop on libuv. Everything that hangs on it belongs to the thread that runs it.
class EventLoop {
 public:
  EventLoop();
  // Closes the handles that are left.
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop.
  void Run();
  void Stop() { uv_stop(&loop_); }

  // Time since the machine started, also while it was suspended, which the steady clock leaves out.
  // Deadlines and beliefs age through a suspension.
  static Instant Now();

  uv_loop_t* uv() { return &loop_; }

 private:
  uv_loop_t loop_{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_EVENT_LOOP_H_
