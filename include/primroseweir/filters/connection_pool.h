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

// Holds all connections of this instance to upstreams. Acquire may be called by many threads at
// once and takes no lock unless unresponsive connections still count against a share. The other
// functions are called by the controllers' threads.
class ConnectionPool {
 public:
  struct Options {
    Seat seat;
    std::uint64_t seat_count = 1;
    MessageLimits limits;
  };

  explicit ConnectionPool(const Options& options);
  ~ConnectionPool();

  // Returns an idle or a new connection to the upstream. With `recently_used`, an idle connection
  // qualifies only if it received bytes within UpstreamConnections::kMaxRecentUseAge.
  // Errors: ResourceExhausted, all connections of the share are in use; Unavailable, the upstream
  // is not listed, the seat is taken or the connect failed; DeadlineExceeded, the connect timed
  // out. In none of these cases has a byte of the request been sent.
  absl::StatusOr<PooledConnection> Acquire(const UpstreamRecord& record, bool recently_used,
                                           Instant now, Instant deadline);

  // Adds and removes upstreams according to the snapshot. Remaining upstreams keep their
  // connections; leaving and removed upstreams have their idle connections closed.
  void Apply(const ConfigurationSnapshot& snapshot);
  // Records whether another live process holds this instance's seat. While it does, Acquire fails;
  // idle connections are closed when it becomes known.
  void SetSeatTaken(bool taken);
  // Closes connections that have been idle for longer than UpstreamConnections::kMaxIdleTime.
  void CloseExpired(Instant now);

 private:
  using Table = std::unordered_map<UpstreamId, std::shared_ptr<UpstreamConnections>>;

  std::shared_ptr<UpstreamConnections> FindOrCreate(const Table& old,
                                                    const UpstreamRecord& record) const;

  const Options options_;
  std::atomic<bool> is_seat_taken_{false};
  std::mutex apply_mutex_;
  RcuCell<Table> table_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_CONNECTION_POOL_H_
