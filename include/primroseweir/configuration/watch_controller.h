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

// Brings values from the configuration service to the controller: watches, polls or rests as
// WatchPolicy decides. One thread decides and polls; each watched key has a thread that waits.
class WatchController {
 public:
  struct Options {
    WatchPolicy::Options policy;
    // Length of a long poll.
    Duration watch = std::chrono::seconds(30);
    // Time between two decisions.
    Duration period = std::chrono::milliseconds(100);
  };

  using ReaderFactory = std::function<std::unique_ptr<PlatformReader>()>;

  // Starts at once. The factory is called in several threads.
  WatchController(const Options& options, ReaderFactory factory,
                  ConfigurationController* controller, EventLog* events);
  // Ends waiting reads and joins the threads.
  ~WatchController();
  WatchController(const WatchController&) = delete;
  WatchController& operator=(const WatchController&) = delete;

  // The live seats of this instance's data centre, its own included, from the membership. Until the
  // first call the instance takes itself to be alone.
  void SetLiveSeats(const std::set<Seat>& live_in_data_centre);

  // Reads `declarations` in the caller's thread, for the freshness check of a dispatch, and offers
  // what it finds. It waits at most `limit`; true when the service answered. One read at a time:
  // while another caller's read runs, it answers false at once.
  bool RefreshDeclarations(Duration limit);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_WATCH_CONTROLLER_H_
