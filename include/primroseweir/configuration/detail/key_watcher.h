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

// Watches one key by long polls in a dedicated thread and offers new values to the controller.
class KeyWatcher {
 public:
  KeyWatcher(std::string key, std::unique_ptr<PlatformReader> reader, Duration long_poll_wait,
             std::uint64_t random_seed, ConfigurationController* controller, EventLog* events);
  // Cancels the pending read and joins the thread.
  ~KeyWatcher();

 private:
  void Run(std::uint64_t random_seed);
  // Blocks for `duration`. Returns false when the watcher is being destroyed.
  bool WaitBeforeRetry(Duration duration);

  const std::string key_;
  const std::unique_ptr<PlatformReader> reader_;
  const Duration long_poll_wait_;
  ConfigurationController* const controller_;
  EventLog* const events_;
  std::mutex mutex_;
  std::condition_variable stop_condition_;
  bool stop_requested_ = false;
  std::thread thread_;
};

// Logs a failed read with its step, peer and error message.
void LogReadFailure(const std::string& key, const absl::Status& status, EventLog* events);

// Returns the adopted revision of a key; 0 when there is none.
Revision RevisionInForce(const std::string& key, const ConfigurationController& controller);

// Offers one value read from the service, with the current time.
void OfferReadValue(const std::string& key, ConfigurationValue value,
                    ConfigurationController* controller);

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_KEY_WATCHER_H_
