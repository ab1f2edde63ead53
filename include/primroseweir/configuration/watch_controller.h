#ifndef PRIMROSEWEIR_CONFIGURATION_WATCH_CONTROLLER_H_
#define PRIMROSEWEIR_CONFIGURATION_WATCH_CONTROLLER_H_

#include <functional>
#include <memory>
#include <set>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/platform_reader.h"
#include "primroseweir/configuration/watch_policy.h"

namespace primroseweir {

class ConfigurationController;
class EventLog;

// Reads values from the configuration service and offers them to the controller. WatchPolicy
// decides whether it watches, polls or relies on peers. One thread decides and polls; each watched
// key has its own thread for the long poll.
class WatchController {
 public:
  struct Options {
    WatchPolicy::Options policy;
    // Time for which a long poll waits for a new value.
    Duration long_poll_wait = std::chrono::seconds(30);
    // Time between two decisions.
    Duration decision_interval = std::chrono::milliseconds(100);
  };

  using ReaderFactory = std::function<std::unique_ptr<PlatformReader>()>;

  // Starts the thread. The factory is called from the constructing thread and from that thread.
  WatchController(const Options& options, ReaderFactory factory,
                  ConfigurationController* controller, EventLog* events);
  // Cancels pending reads and joins the threads.
  ~WatchController();
  WatchController(const WatchController&) = delete;
  WatchController& operator=(const WatchController&) = delete;

  // Sets the seats that the membership reports live in this instance's data centre, including its
  // own. Until the first call the instance assumes that it is the only one. Thread-safe.
  void SetLiveSeats(const std::set<Seat>& live_in_data_centre);

  // Reads `declarations` in the calling thread, for the freshness check before a dispatch, and
  // offers the value read. Blocks for at most `timeout`. Returns true when the service responded.
  // Returns false immediately while a read of another thread is in progress. Thread-safe.
  bool RefreshDeclarations(Duration timeout);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_WATCH_CONTROLLER_H_
