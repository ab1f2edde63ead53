#ifndef PRIMROSEWEIR_BASE_ERROR_H_
#define PRIMROSEWEIR_BASE_ERROR_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>

namespace primroseweir {

// Where an error arose: the step of the work and the peer it concerned ("" when there was none).
struct ErrorOrigin {
  std::string step;
  std::string peer;
};

// Makes a status that carries its origin. Complexity: linear in the lengths of the texts.
absl::Status MakeError(absl::StatusCode code, const ErrorOrigin& origin,
                       const std::string& message);

// Reads back the origin; both texts are empty when the status carries none.
ErrorOrigin OriginOf(const absl::Status& status);

// The message of the status as a standard string.
std::string MessageOf(const absl::Status& status);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_ERROR_H_
