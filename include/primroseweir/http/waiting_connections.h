#ifndef PRIMROSEWEIR_HTTP_WAITING_CONNECTIONS_H_
#define PRIMROSEWEIR_HTTP_WAITING_CONNECTIONS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

#include "primroseweir/base/time.h"

namespace primroseweir {

// The connections of a server and which of them wait for their callers. When the server has no room
// for a new connection, one whose caller is idle or stalls is closed: it must not keep ordinary
// callers out. Connections on which no request was served go first, then those that have waited
// longest. Thread-safe.
//
// Load pattern: crowds of connections that send nothing, or stop in the middle of a head or a body.
class WaitingConnections {
 public:
  using Id = std::uint64_t;

  // Adds a connection that does not wait. `close` shuts its socket down, so that its thread stops
  // waiting; it is called under the lock of this object and must not call it.
  Id Add(std::function<void()> close);
  void Remove(Id id);

  // Records that the connection waits for its caller, since `since`: the end of the last response,
  // or the arrival of the head of the request whose body is expected.
  void StartWaiting(Id id, Instant since);
  // Records that the connection no longer waits. Returns false if it has been closed meanwhile; a
  // request on it must not be served then.
  bool StopWaiting(Id id);
  // Records that a request was served on the connection.
  void SetServed(Id id);

  // Closes the next connection in the order above. Returns false if none waits.
  bool CloseLongestWaiting();
  // Returns the number of connections that were closed here and not yet removed.
  std::size_t closed_count();

 private:
  struct Connection {
    std::function<void()> close;
    bool is_waiting = false;
    bool is_closed = false;
    bool has_been_served = false;
    Instant since;
  };

  std::mutex mutex_;
  std::map<Id, Connection> connections_;
  Id next_id_ = 1;
  std::size_t closed_count_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_WAITING_CONNECTIONS_H_
