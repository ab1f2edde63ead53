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

// Builds the response to a peer's `configuration(after_revision)` request: JSON Patches (RFC 6902)
// for keys whose history reaches back to that revision and whose patches are short enough, complete
// values for the others. Services are matched by name and upstreams by id, so that a change of one
// upstream makes a patch of a few hundred bytes, whatever the size of the list. Thread-safe.
class ConfigurationPatches {
 public:
  // Deltas kept for each key. Peers with an older revision get complete values.
  static constexpr std::size_t kMaxDeltasPerKey = 64;

  // Records accepted values. Ignores a value that is not newer than the recorded one. Linear in the
  // sizes of the old and the new value.
  void Record(const ConfigurationValues& accepted);

  // Returns what a peer with configuration revision `after` lacks. Revision() requests complete
  // values. Format:
  // {"revision":N,"patches":[{"key","from","to","digest","patch"}...],
  //  "values":[{"key","revision","text"}...]}.
  nlohmann::json MakeResponse(Revision after) const;

  // Applies a response to `base` and returns the resulting values, to be offered to the controller.
  // Errors: InvalidArgument, the response is malformed; FailedPrecondition, `base` lacks the
  // revision that a patch starts from; DataLoss, a patched value does not match its digest. After
  // the last two the caller should request complete values.
  static absl::StatusOr<ConfigurationValues> Apply(const nlohmann::json& response,
                                                   const ConfigurationValues& base);

 private:
  // Change of one key between two consecutive recorded revisions.
  struct Delta {
    Revision from;
    Revision to;
    std::string digest;
    nlohmann::json patch;
    std::size_t bytes = 0;
  };

  struct KeyState {
    Revision revision;
    std::string text;
    // The value in keyed form (detail::ToKeyed): services by name, upstreams by id.
    nlohmann::json keyed;
    std::deque<Delta> deltas;
  };

  static void AddKey(const std::string& name, const KeyState& key, Revision after,
                     nlohmann::json* response);

  mutable std::mutex mutex_;
  std::map<std::string, KeyState> keys_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_PATCHES_H_
