#ifndef PRIMROSEWEIR_BASE_ERROR_H_
#define PRIMROSEWEIR_BASE_ERROR_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>

namespace primroseweir {

// Origin of an error: the operation that failed and the peer that was involved. `peer` is empty
// when no peer was involved.
struct ErrorOrigin {
  std::string step;
  std::string peer;
};

// Returns a status with `code` and `message` that carries `origin` in its payloads. Linear in the
// lengths of the strings.
absl::Status MakeError(absl::StatusCode code, const ErrorOrigin& origin,
                       const std::string& message);

// Returns the origin that MakeError attached to `status`. Both strings are empty when the status
// carries none.
ErrorOrigin OriginOf(const absl::Status& status);

// Returns the message of `status` as a std::string.
std::string MessageOf(const absl::Status& status);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_ERROR_H_
