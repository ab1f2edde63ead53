#ifndef PRIMROSEWEIR_KEYS_STARTED_CALL_TABLE_H_
#define PRIMROSEWEIR_KEYS_STARTED_CALL_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "primroseweir/base/time.h"
#include "primroseweir/keys/outcome.h"
#include "primroseweir/keys/stored_response.h"

namespace primroseweir {

// The calls with a call key that this incarnation started, until their prefixes expire (design
// 7.8). Safe for many threads; a critical section is short and covers one part of the keys.
class StartedCallTable {
 public:
  struct Options {
    // Bytes of keys and answers in all.
    std::size_t bytes = std::size_t{32} * 1024 * 1024;
    // Larger answers are not kept.
    std::size_t response_bytes = std::size_t{64} * 1024;
    // Parts with a lock and an equal share of the bytes each.
    std::size_t shards = 16;
    // Read inside the critical section that inserts a key, so that a process that was paused before
    // it sees the time after the pause.
    std::function<Instant()> clock = &MonotonicNow;
  };

  enum class LookupResult {
    // The key is new and now counts as running; the receiver must call Finish.
    kStart,
    // It runs: Wait for its end.
    kRunning,
    // It has ended; see Entry.
    kEnded,
    // The key was used for a different request.
    kRequestMismatch,
    // The prefix has expired.
    kExpired,
    // No room for a further key.
    kFull
  };

  // How a run ended.
  struct Entry {
    Outcome outcome = Outcome::kUnknown;
    // Null when it was not kept.
    std::shared_ptr<const StoredResponse> response;
  };

  class Run;

  struct Decision {
    LookupResult result = LookupResult::kStart;
    Entry entry;
    // Set for kRunning.
    std::shared_ptr<Run> run;
  };

  explicit StartedCallTable(const Options& options);
  ~StartedCallTable();

  // Looks the key up and inserts it when it is new. `expiry` is that of its prefix.
  Decision Begin(const std::string& key, std::uint64_t fingerprint, Instant expiry);

  // Ends the run that Begin started. A key with outcome not-run is forgotten, so that the call may
  // start later. Wakes all who wait.
  void Finish(const std::string& key, const Entry& entry);

  // Waits for the end of a run; false when the deadline passes first.
  static bool Wait(Run* run, Instant deadline, Entry* entry);

  // Keys and answers in bytes, as they count against the limit.
  std::size_t bytes() const;

  // What a key costs besides its characters.
  static constexpr std::size_t kKeyOverhead = 256;

 private:
  class Shard;

  Shard* ShardOf(const std::string& key) const;

  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_KEYS_STARTED_CALL_TABLE_H_
