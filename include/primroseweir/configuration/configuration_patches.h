#ifndef PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_PATCHES_H_
#define PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_PATCHES_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/configuration_values.h"

namespace primroseweir {

// Answers a peer's `configuration(after_revision)` with JSON Patches where the history allows it
// and with whole values otherwise. Services and upstreams are compared by name and id, so that a
// change of one upstream makes a patch of some hundred bytes at any size of the list. Safe for
// several threads.
class ConfigurationPatches {
 public:
  // Changes kept a key; older peers get whole values.
  static constexpr std::size_t kHistory = 64;

  // Notes values that were accepted. A value that is not newer than the noted one is passed over.
  // Linear in the sizes of the old and the new value.
  void Record(const ConfigurationValues& accepted);

  // What a peer needs whose configuration revision is `after`; Revision() asks for whole values:
  // {"revision":N,"patches":[{"key","from","to","digest","patch"}...],
  //  "values":[{"key","revision","text"}...]}.
  nlohmann::json Respond(Revision after) const;

  // The values that an answer makes of `base`, to be offered to the controller.
  // Errors: InvalidArgument, the answer has another form; FailedPrecondition, `base` lacks the
  // revision that a patch starts from; DataLoss, a result differs from its digest. After the last
  // two the caller asks again for whole values.
  static absl::StatusOr<ConfigurationValues> Apply(const nlohmann::json& response,
                                                   const ConfigurationValues& base);

 private:
  struct Step {
    Revision from;
    Revision to;
    std::string digest;
    nlohmann::json patch;
    std::size_t bytes = 0;
  };

  struct Key {
    Revision revision;
    std::string text;
    // The value with services by name and upstreams by id.
    nlohmann::json keyed;
    std::deque<Step> steps;
  };

  static void AddKey(const std::string& name, const Key& key, Revision after,
                     nlohmann::json* response);

  mutable std::mutex mutex_;
  std::map<std::string, Key> keys_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_PATCHES_H_
