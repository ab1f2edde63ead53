#ifndef PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_CONTROLLER_H_
#define PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_CONTROLLER_H_

#include <functional>
#include <memory>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/configuration_rejection.h"
#include "primroseweir/configuration/configuration_values.h"
#include "primroseweir/configuration/snapshot.h"

namespace primroseweir {

class EventLog;

// Owns the configuration in force. Takes values from the platform and from peers, checks them, and
// adopts per key those with a higher revision. Safe for several threads; Current takes no lock.
class ConfigurationController {
 public:
  using Listener = std::function<void(std::shared_ptr<const ConfigurationSnapshot>, Instant)>;

  explicit ConfigurationController(EventLog* events);
  ~ConfigurationController();

  // Offers values. Invalid and older ones change nothing; a rejection is recorded once per revision
  // for the operators. Calls the listeners when the configuration in force changed.
  void Offer(const ConfigurationValues& values, Instant now);

  // Notes that the platform or a peer confirmed the present revision, or named a newer one.
  void RecordContact(Revision revision, Instant now);

  // When a revision was last heard; the freshness check of a dispatch uses it.
  Instant LastContact() const;

  // Adds a function that is called after each change, in the thread that offered it. Listeners are
  // called one after the other and must not offer values themselves.
  void AddListener(Listener listener);

  // The configuration in force; never null.
  std::shared_ptr<const ConfigurationSnapshot> Current() const;

  // The newest rejected values, at most one a key, for the status.
  std::vector<ConfigurationRejection> Rejections() const;

  // The accepted values with a revision above `after`, to pass on to a peer.
  ConfigurationValues ValuesAfter(Revision after) const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_CONTROLLER_H_
