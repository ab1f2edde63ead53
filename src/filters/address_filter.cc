#include "primroseweir/filters/address_filter.h"

#include <nlohmann/json.hpp>
#include <string>

#include "primroseweir/filters/call.h"
#include "primroseweir/filters/fleet.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/http/server_connection.h"
#include "primroseweir/keys/call_key_issuer.h"

namespace primroseweir {
namespace {

constexpr char kPrefix[] = "/primroseweir/";
constexpr char kTarget[] = "/primroseweir/addresses";
constexpr char kCallerParameter[] = "caller=";

std::string PathOf(const std::string& target) { return target.substr(0, target.find('?')); }

std::string CallerOf(const Call& call) {
  const auto& target = call.request->target;
  const auto start = target.find(kCallerParameter);
  if (start == std::string::npos) {
    return call.caller->socket()->peer_ip();
  }
  const auto value = target.substr(start + sizeof kCallerParameter - 1);
  return value.substr(0, value.find('&'));
}

}  // namespace

CallOutcome AddressFilter::Handle(Call* call, const Next& next) {
  const auto& request = *call->request;
  if (PathOf(request.target) == kTarget && request.method == "GET") {
    return RespondWithAddresses(call);
  }
  if (request.target.rfind(kPrefix, 0) == 0) {
    return CallOutcome::NotExecuted("route", "no such page", 404);
  }
  return next(call);
}

CallOutcome AddressFilter::RespondWithAddresses(Call* call) const {
  nlohmann::ordered_json body;
  body["addresses"] = nlohmann::json::array();
  for (const auto& address : fleet_->AddressesFor(CallerOf(*call))) {
    body["addresses"].push_back(address.ToString());
  }
  body["valid_ms"] = ToMilliseconds(kValidity);
  body["revision"] = fleet_->CurrentRevision().value();
  body["call_key_prefix"] = issuer_->MakePrefix(MonotonicNow());
  body["call_key_valid_ms"] = ToMilliseconds(CallKeyIssuer::kValidity);
  ResponseHead head;
  head.fields.Add("Content-Type", "application/json");
  head.fields.Add("Cache-Control", "no-store");
  head.fields.Add("Primroseweir-Outcome", NameOf(ExecutionOutcome::kExecuted));
  head.fields.Add("Primroseweir-Request-Id", call->id.value());
  call->caller->Respond(head, body.dump() + "\n").IgnoreError();
  CallOutcome call_outcome;
  call_outcome.has_response_begun = true;
  return call_outcome;
}

}  // namespace primroseweir
