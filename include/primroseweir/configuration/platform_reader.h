#ifndef PRIMROSEWEIR_CONFIGURATION_PLATFORM_READER_H_
#define PRIMROSEWEIR_CONFIGURATION_PLATFORM_READER_H_

#include <absl/status/statusor.h>

#include <optional>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/configuration_values.h"

namespace primroseweir {

// Interface for reading values from the configuration service. Not thread-safe, except for
// Cancel().
class PlatformReader {
 public:
  virtual ~PlatformReader() = default;

  // Returns the value of `key` as soon as its revision is above `after`, or nullopt when `wait`
  // (zero: no wait) passes before that. `timeout` bounds the whole read and must be above `wait`.
  // Errors, with the step and the address: Unavailable, DeadlineExceeded, NotFound (no such key),
  // DataLoss (no valid revision or an unexpected status in the response), Cancelled.
  virtual absl::StatusOr<std::optional<ConfigurationValue>> Read(const std::string& key,
                                                                 Revision after, Duration wait,
                                                                 Duration timeout) = 0;

  // Switches to the next address of the service, if there are several, for the following reads.
  virtual void UseNextAddress() = 0;

  // Makes the current read and all later ones fail with Cancelled. May be called from any thread.
  virtual void Cancel() = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_PLATFORM_READER_H_
