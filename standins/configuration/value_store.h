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

// The values of the stand-in configuration service, with the faults that tests ask for. Safe for
// several threads.
class ValueStore {
 public:
  struct Value {
    std::uint64_t revision = 0;
    std::string text;
  };

  struct Counts {
    std::uint64_t reads = 0;
    std::uint64_t waiting = 0;
    // Reads that ended in the last second plus waiting watches.
    std::uint64_t load = 0;
    std::uint64_t highest_load = 0;
  };

  // Sets a value and wakes the watches of readers that are not frozen. Answers its revision.
  std::uint64_t Set(const std::string& key, const std::string& text);

  // Who reads, and at which address of the service.
  struct Reader {
    std::string ip;
    std::string at;
  };

  // The value as `reader` sees it, once its revision is above `after`; nothing after `wait` or when
  // the service goes down. `known` tells whether the key has a value at all.
  std::optional<Value> Read(const Reader& reader, const std::string& key, std::uint64_t after,
                            std::chrono::milliseconds wait, bool* known);

  // Until Thaw, readers from the IP address `who`, or at the service's address `who` ("ip:port"),
  // see the present values; "" means all readers.
  void Freeze(const std::string& who);
  void Thaw(const std::string& who);

  // While down, reads answer nothing and waiting watches end.
  void SetDown(bool down);
  bool IsDown();

  Counts Count();

 private:
  using Values = std::map<std::string, Value>;

  const Values& VisibleTo(const Reader& reader) const;
  Counts CountLocked();

  std::mutex mutex_;
  std::condition_variable changed_;
  Values values_;
  std::map<std::string, std::shared_ptr<const Values>> frozen_;
  std::deque<std::chrono::steady_clock::time_point> recent_;
  Counts counts_;
  std::uint64_t revision_ = 0;
  bool down_ = false;
};

}  // namespace primroseweir::standin

#endif  // PRIMROSEWEIR_STANDINS_CONFIGURATION_VALUE_STORE_H_
