#ifndef PRIMROSEWEIR_KEYS_STARTED_CALL_TABLE_H_
#define PRIMROSEWEIR_KEYS_STARTED_CALL_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "primroseweir/base/time.h"
#include "primroseweir/keys/execution_outcome.h"
#include "primroseweir/keys/stored_response.h"

namespace primroseweir {

// Records the calls with a call key that this incarnation started, until their prefixes expire, so
// that a call that is sent again with the same key is not executed twice. Thread-safe; the keys are
// divided into shards, and Begin and Finish lock one shard briefly.
class StartedCallTable {
 public:
  struct Options {
    // Limit for keys and responses together, over all shards.
    std::size_t max_bytes = std::size_t{32} * 1024 * 1024;
    // Larger responses are not stored.
    std::size_t max_response_bytes = std::size_t{64} * 1024;
    // Each shard has its own lock and an equal share of `max_bytes`.
    std::size_t shards = 16;
    // Read inside the critical section that inserts a key: a process that was suspended before the
    // insertion then uses the time after the suspension and rejects a key that expired meanwhile.
    std::function<Instant()> clock = &MonotonicNow;
  };

  enum class LookupResult {
    // The key is new and is now recorded as being executed; the calling code must call Finish.
    kStart,
    // The call is being executed; Wait blocks until it finishes.
    kRunning,
    // The call has finished; Decision::entry holds its outcome.
    kEnded,
    // The key was used for a request with another fingerprint.
    kRequestMismatch,
    // The prefix has expired.
    kExpired,
    // The shard has no room for another key.
    kFull
  };

  // Outcome of a finished call.
  struct Entry {
    ExecutionOutcome outcome = ExecutionOutcome::kUnknown;
    // Null when the response was not stored or has been discarded.
    std::shared_ptr<const StoredResponse> response;
  };

  class Execution;

  struct Decision {
    LookupResult result = LookupResult::kStart;
    Entry entry;
    // Non-null only for kRunning; to be passed to Wait.
    std::shared_ptr<Execution> execution;
  };

  explicit StartedCallTable(const Options& options);
  ~StartedCallTable();

  // Looks the key up and inserts it when it is new. `fingerprint` identifies the request, and
  // `expiry` is that of the key's prefix. A key is expired when `expiry` is not after the current
  // time.
  Decision Begin(const std::string& key, std::uint64_t fingerprint, Instant expiry);

  // Records the outcome of a call for which Begin returned kStart, and wakes all threads that wait
  // for it. A key with outcome kNotExecuted is removed, so that the call may be started again.
  void Finish(const std::string& key, const Entry& entry);

  // Blocks until the call finishes and stores its outcome in `entry`. Returns false when `deadline`
  // passes first.
  static bool Wait(Execution* execution, Instant deadline, Entry* entry);

  // Returns the bytes of keys and responses that count against Options::max_bytes.
  std::size_t bytes() const;

  // Bytes that each key counts in addition to its characters, which count twice because the table
  // stores each key twice.
  static constexpr std::size_t kKeyOverheadBytes = 256;

 private:
  class Shard;

  Shard* ShardOf(const std::string& key) const;

  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_KEYS_STARTED_CALL_TABLE_H_
