#ifndef PRIMROSEWEIR_STANDINS_CONFIGURATION_VALUE_STORE_H_
#define PRIMROSEWEIR_STANDINS_CONFIGURATION_VALUE_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace primroseweir::standin {

// Stores the values of the stand-in configuration service and simulates the faults that tests
// request: stale readers and outages. Thread-safe.
class ValueStore {
 public:
  struct Value {
    std::uint64_t revision = 0;
    std::string text;
  };

  struct Counts {
    std::uint64_t reads = 0;
    std::uint64_t waiting = 0;
    // Reads that ended in the last second plus reads that wait.
    std::uint64_t load = 0;
    std::uint64_t highest_load = 0;
  };

  // Sets a value and returns its revision. Waiting reads of the key return, except those of
  // frozen readers.
  std::uint64_t Set(const std::string& key, const std::string& text);

  // A reader: its IP address, and the address ("ip:port") at which it reads from the service.
  struct Reader {
    std::string ip;
    std::string service_address;
  };

  // Waits until the value visible to `reader` has a revision above `after`, and returns it. Returns
  // nullopt if `wait` passes first or the service goes down. Sets `*key_exists` to whether the key
  // has a value visible to the reader.
  std::optional<Value> Read(const Reader& reader, const std::string& key, std::uint64_t after,
                            std::chrono::milliseconds wait, bool* key_exists);

  // Makes readers see the current values until Thaw. `reader` is the IP address of a reader or the
  // address of the service at which it reads ("ip:port"); "" freezes all readers.
  void Freeze(const std::string& reader);
  // Ends Freeze for the same `reader`; "" ends it for all readers.
  void Thaw(const std::string& reader);

  // While the service is down, all reads return nullopt at once, including those that were waiting.
  void SetDown(bool down);
  bool IsDown();

  Counts Count();

 private:
  using Values = std::map<std::string, Value>;

  // Returns the values that `reader` sees. Requires `mutex_` to be held.
  const Values& VisibleTo(const Reader& reader) const;
  // Updates the load figures and returns all counts. Requires `mutex_` to be held.
  Counts UpdateCounts();

  std::mutex mutex_;
  std::condition_variable values_changed_;
  Values values_;
  std::map<std::string, std::shared_ptr<const Values>> frozen_values_;
  std::deque<std::chrono::steady_clock::time_point> recent_reads_;
  Counts counts_;
  std::uint64_t revision_ = 0;
  bool is_down_ = false;
};

}  // namespace primroseweir::standin

#endif  // PRIMROSEWEIR_STANDINS_CONFIGURATION_VALUE_STORE_H_
