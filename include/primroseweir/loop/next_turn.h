#ifndef PRIMROSEWEIR_LOOP_NEXT_TURN_H_
#define PRIMROSEWEIR_LOOP_NEXT_TURN_H_

#include <functional>

namespace primroseweir {

class EventLoop;

// Calls back once in the next turn of an event loop, after the sockets that are ready now had their
// turn. A Timer without delay is not enough: libuv runs it again in the same turn if its callback
// starts it again. Destruction cancels it and is allowed in its own callback.
class NextTurn {
 public:
  using Callback = std::function<void()>;

  NextTurn(EventLoop* loop, Callback callback);
  ~NextTurn();
  NextTurn(const NextTurn&) = delete;
  NextTurn& operator=(const NextTurn&) = delete;

  // Has no effect if the callback is already due.
  void Start();

 private:
  struct Handle;
  Handle* handle_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_NEXT_TURN_H_
