#ifndef PRIMROSEWEIR_CONFIGURATION_PLATFORM_READER_H_
#define PRIMROSEWEIR_CONFIGURATION_PLATFORM_READER_H_

#include <absl/status/statusor.h>

#include <optional>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/configuration_values.h"

namespace primroseweir {

// Reads values from the configuration service. Tests replace it by a fake.
class PlatformReader {
 public:
  virtual ~PlatformReader() = default;

  // The value of `key` once its revision is above `after`; nothing when that does not happen within
  // `wait` (zero: at once). The whole read takes at most `limit`, which is above `wait`.
  // Errors, with the step and the address: Unavailable, DeadlineExceeded, NotFound (no such key),
  // DataLoss (the answer has no valid revision or another status), Cancelled.
  virtual absl::StatusOr<std::optional<ConfigurationValue>> Read(const std::string& key,
                                                                 Revision after, Duration wait,
                                                                 Duration limit) = 0;

  // Uses another address of the service from the next read on, when there are several.
  virtual void UseNextAddress() = 0;

  // Ends the present read and all later ones with Cancelled. The only function that another thread
  // may call.
  virtual void Cancel() = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_PLATFORM_READER_H_
