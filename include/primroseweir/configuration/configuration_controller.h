#ifndef PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_CONTROLLER_H_
#define PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_CONTROLLER_H_

#include <functional>
#include <memory>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/configuration_rejection.h"
#include "primroseweir/configuration/configuration_snapshot.h"
#include "primroseweir/configuration/configuration_values.h"

namespace primroseweir {

class EventLog;

// Owns the configuration in force. Validates values offered by the platform or by peers and adopts,
// for each key, those with a higher revision. Thread-safe; Current() takes no lock.
class ConfigurationController {
 public:
  using Listener = std::function<void(std::shared_ptr<const ConfigurationSnapshot>, Instant)>;

  explicit ConfigurationController(EventLog* events);
  ~ConfigurationController();

  // Offers values. Values that are invalid or not newer change nothing; a rejection is logged once
  // per key and revision. Calls the listeners when the configuration in force changed.
  void Offer(const ConfigurationValues& values, Instant now);

  // Records that the platform or a peer reported `revision`. Ignored when it is below the revision
  // in force.
  void RecordContact(Revision revision, Instant now);

  // Returns the time of the last recorded contact. The freshness check before a dispatch uses it.
  Instant LastContact() const;

  // Adds a function that is called after each change, in the thread that offered it. Listeners are
  // called one at a time and must not call Offer() themselves.
  void AddListener(Listener listener);

  // Returns the configuration in force; never null.
  std::shared_ptr<const ConfigurationSnapshot> Current() const;

  // Returns the last rejected value of each key, for the status page.
  std::vector<ConfigurationRejection> Rejections() const;

  // Returns the accepted values with a revision above `after`, to be sent to a peer.
  ConfigurationValues ValuesAfter(Revision after) const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_CONTROLLER_H_
