#ifndef PRIMROSEWEIR_LOOP_EVENT_LOOP_H_
#define PRIMROSEWEIR_LOOP_EVENT_LOOP_H_

#include <uv.h>

#include <cstdint>

#include "primroseweir/base/time.h"
#include "primroseweir/loop/connection_registry.h"

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

  // The callers' connections of all ports on this loop, and the memory that peers make it hold.
  ConnectionRegistry& connections() { return connections_; }
  // Longest time between two waits for events since the last call; while a turn lasts, nothing else
  // is served.
  Duration TakeLongestTurn();

  // Number of waits for events so far; work with the same number belongs to one turn.
  std::uint64_t turn() const { return turn_; }

  uv_loop_t* uv() { return &loop_; }

 private:
  void MeasureTurn();

  uv_loop_t loop_{};
  uv_prepare_t prepare_{};
  uv_check_t check_{};
  ConnectionRegistry connections_;
  // Time of the last wait for events, and the time spent waiting until then, in nanoseconds.
  std::uint64_t turn_started_ = 0;
  std::uint64_t idle_time_ = 0;
  std::uint64_t longest_turn_ = 0;
  std::uint64_t turn_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_EVENT_LOOP_H_
