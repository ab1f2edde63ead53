#ifndef PRIMROSEWEIR_FILTERS_CONNECTION_POOL_H_
#define PRIMROSEWEIR_FILTERS_CONNECTION_POOL_H_

#include <absl/status/statusor.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/rcu_cell.h"
#include "primroseweir/base/time.h"
#include "primroseweir/filters/pooled_connection.h"
#include "primroseweir/http/message_limits.h"

namespace primroseweir {

struct ConfigurationSnapshot;
struct UpstreamRecord;

// All connections of this instance to upstreams. Take is safe for many threads and takes no lock
// unless connections went silent lately; the rest comes from the controllers' threads.
class ConnectionPool {
 public:
  struct Options {
    Seat seat;
    std::uint64_t seats = 1;
    MessageLimits limits;
  };

  explicit ConnectionPool(const Options& options);
  ~ConnectionPool();

  // A connection to the upstream: idle or new. With `proven`, one that carried bytes a moment ago,
  // or a new one.
  // Errors: ResourceExhausted, the share is used up; Unavailable, the upstream is not listed, or
  // the connect failed; DeadlineExceeded, the connect took too long. No byte was sent in any case.
  absl::StatusOr<PooledConnection> Acquire(const UpstreamRecord& record, bool recently_used,
                                           Instant now, Instant deadline);

  // Adds and removes upstreams. Those that stay keep their connections; those that leave lose the
  // idle ones.
  void Apply(const ConfigurationSnapshot& snapshot);
  // Another live process has this instance's seat: hold no connections.
  void SetSeatTaken(bool taken);
  // Closes connections that have been idle for long.
  void CloseExpired(Instant now);

 private:
  using Table = std::unordered_map<UpstreamId, std::shared_ptr<UpstreamConnections>>;

  std::shared_ptr<UpstreamConnections> FindOrCreate(const Table& old,
                                                    const UpstreamRecord& record) const;

  const Options options_;
  std::atomic<bool> seat_taken_{false};
  std::mutex writers_;
  RcuCell<Table> table_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_CONNECTION_POOL_H_
