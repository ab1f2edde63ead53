#include "primroseweir/filters/body_filter.h"

#include <string>

#include "primroseweir/base/rendezvous.h"
#include "primroseweir/filters/call.h"
#include "primroseweir/http/request_handler.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/server_connection.h"

namespace primroseweir {
namespace {

// Reads until the body ends or the buffer is full.
absl::Status FillBody(Call* call) {
  while (call->body.size() < BodyFilter::kBufferedBytes) {
    const auto piece = call->caller->ReadBody(call->deadline);
    if (!piece.ok()) {
      return piece.status();
    }
    if (piece->empty()) {
      return absl::OkStatus();
    }
    call->body.append(*piece);
  }
  return absl::OkStatus();
}

// Hashes the method, the target and the first 64 KB of the body. StableHash takes a single string,
// so the length of the target is included to distinguish "a" + "bc" from "ab" + "c".
std::uint64_t FingerprintOf(const Call& call) {
  const auto& request = *call.request;
  std::string text = request.method + " " + std::to_string(request.target.size()) + " ";
  text += request.target;
  text.append(call.body, 0, BodyFilter::kBufferedBytes);
  return StableHash(text);
}

}  // namespace

CallOutcome BodyFilter::Handle(Call* call, const Next& next) {
  const auto status = FillBody(call);
  if (!status.ok()) {
    call->caller->set_close_after_response();
    return CallOutcome::NotExecuted("body", std::string(status.message()),
                                    HttpStatusOfFault(status));
  }
  call->is_body_complete = call->caller->is_request_complete();
  call->fingerprint = FingerprintOf(*call);
  return next(call);
}

}  // namespace primroseweir
