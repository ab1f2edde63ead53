#include "primroseweir/base/error.h"

#include <absl/strings/cord.h>

namespace primroseweir {
namespace {

constexpr char kStepPayload[] = "primroseweir/step";
constexpr char kPeerPayload[] = "primroseweir/peer";

std::string PayloadString(const absl::Status& status, const char* type) {
  const auto payload = status.GetPayload(type);
  return payload.has_value() ? std::string(*payload) : std::string();
}

}  // namespace

absl::Status MakeError(absl::StatusCode code, const ErrorOrigin& origin,
                       const std::string& message) {
  absl::Status status(code, message);
  status.SetPayload(kStepPayload, absl::Cord(origin.step));
  status.SetPayload(kPeerPayload, absl::Cord(origin.peer));
  return status;
}

ErrorOrigin OriginOf(const absl::Status& status) {
  return {PayloadString(status, kStepPayload), PayloadString(status, kPeerPayload)};
}

std::string MessageOf(const absl::Status& status) { return std::string(status.message()); }

}  // namespace primroseweir
