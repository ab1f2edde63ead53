#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_KEY_WATCHER_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_KEY_WATCHER_H_

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "primroseweir/base/time.h"
#include "primroseweir/configuration/platform_reader.h"

namespace primroseweir {
class ConfigurationController;
class EventLog;
}  // namespace primroseweir

namespace primroseweir::detail {

// Waits in a thread of its own for new values of one key and offers them.
class KeyWatcher {
 public:
  KeyWatcher(std::string key, std::unique_ptr<PlatformReader> reader, Duration watch,
             std::uint64_t random_seed, ConfigurationController* controller, EventLog* events);
  // Ends the read that waits and joins the thread.
  ~KeyWatcher();

 private:
  void Run(std::uint64_t random_seed);
  // Waits after a failure; false when the watcher ends.
  bool Pause(Duration duration);

  const std::string key_;
  const std::unique_ptr<PlatformReader> reader_;
  const Duration watch_;
  ConfigurationController* const controller_;
  EventLog* const events_;
  std::mutex mutex_;
  std::condition_variable ended_;
  bool end_ = false;
  std::thread thread_;
};

// Notes a failed read in the log.
void ReportReadFailure(const std::string& key, const absl::Status& status, EventLog* events);

// The revision in force of a key; 0 when there is none.
Revision RevisionInForce(const std::string& key, const ConfigurationController& controller);

// Offers one value that was read.
void OfferRead(const std::string& key, ConfigurationValue value,
               ConfigurationController* controller);

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_KEY_WATCHER_H_
