#ifndef PRIMROSEWEIR_LOOP_EVENT_LOOP_H_
#define PRIMROSEWEIR_LOOP_EVENT_LOOP_H_

#include <uv.h>

#include "primroseweir/base/time.h"

namespace primroseweir {

// A libuv event loop. The loop and all objects created on it belong to the thread that runs it.
class EventLoop {
 public:
  EventLoop();
  // Runs the close callbacks that are left, then closes the loop. Timers, sockets and listeners on
  // the loop must be destroyed first.
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop is called or nothing is left to wait for.
  void Run();
  void Stop() { uv_stop(&loop_); }

  // Returns the time since the machine started, including time in suspension, which the steady
  // clock leaves out: deadlines and observations age during a suspension too.
  static Instant Now();

  uv_loop_t* uv() { return &loop_; }

 private:
  uv_loop_t loop_{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_EVENT_LOOP_H_
