#ifndef PRIMROSEWEIR_LOOP_TIMER_H_
#define PRIMROSEWEIR_LOOP_TIMER_H_

#include <functional>

#include "primroseweir/base/time.h"

namespace primroseweir {

class EventLoop;

// A timer of an event loop. Its destruction cancels it; that is also allowed in its callback.
class Timer {
 public:
  using Callback = std::function<void()>;

  Timer(EventLoop* loop, Callback callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Calls back once after `delay`, which is rounded up to milliseconds. Replaces an earlier start.
  void Start(Duration delay);
  // Calls back every `period`.
  void Repeat(Duration period);
  void Cancel();

 private:
  struct Handle;
  Handle* handle_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_TIMER_H_
