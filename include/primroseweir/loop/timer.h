#ifndef PRIMROSEWEIR_LOOP_TIMER_H_
#define PRIMROSEWEIR_LOOP_TIMER_H_

#include <functional>

#include "primroseweir/base/time.h"

namespace primroseweir {

class EventLoop;

// A timer on an event loop. Destruction cancels it and is allowed in its own callback.
class Timer {
 public:
  using Callback = std::function<void()>;

  Timer(EventLoop* loop, Callback callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Calls the callback once after `delay`, rounded up to milliseconds. Replaces an earlier Start or
  // Repeat.
  void Start(Duration delay);
  // Calls the callback every `period`, rounded up to milliseconds.
  void Repeat(Duration period);
  void Cancel();

 private:
  struct Handle;
  Handle* handle_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_TIMER_H_
