#include "primroseweir/filters/filter_chain.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "primroseweir/base/event_log.h"
#include "primroseweir/filters/call.h"
#include "primroseweir/filters/caller_sink.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/http/server_connection.h"

namespace primroseweir {
namespace {

std::string LocalReplyBody(const CallOutcome& call_outcome) {
  nlohmann::ordered_json body;
  body["outcome"] = NameOf(call_outcome.outcome);
  body["step"] = call_outcome.step;
  body["peer"] = call_outcome.peer;
  body["reason"] = call_outcome.reason;
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

void SendLocalReply(ServerConnection* connection, const CallOutcome& call_outcome,
                    const RequestId& id) {
  ResponseHead head;
  head.status = call_outcome.http_status;
  head.fields.Add("Content-Type", "application/json");
  head.fields.Add("Primroseweir-Outcome", NameOf(call_outcome.outcome));
  if (!id.empty()) {
    head.fields.Add("Primroseweir-Request-Id", id.value());
  }
  if (call_outcome.retry_after > 0) {
    head.fields.Add("Retry-After", std::to_string(call_outcome.retry_after));
  }
  if (!call_outcome.key_scheme.empty()) {
    head.fields.Add("WWW-Authenticate", call_outcome.key_scheme);
  }
  // Ignores the error: a caller that has disconnected needs no response.
  connection->Respond(head, LocalReplyBody(call_outcome)).IgnoreError();
}

}  // namespace

FilterChain::FilterChain(std::vector<std::unique_ptr<Filter>> filters, EventLog* events)
    : filters_(std::move(filters)), events_(events) {}

FilterChain::~FilterChain() = default;

void FilterChain::Handle(ServerConnection* connection) {
  CallerSink sink(connection);
  Call call;
  call.caller = connection;
  call.request = connection->request();
  call.sink = &sink;
  call.arrived_at = MonotonicNow();
  const auto call_outcome = RunFrom(0, &call);
  if (call_outcome.has_response_begun) {
    return;
  }
  events_->Emit("call_failed", {{"request", call.id.value()},
                                {"service", call.service.value()},
                                {"outcome", NameOf(call_outcome.outcome)},
                                {"status", std::to_string(call_outcome.http_status)},
                                {"step", call_outcome.step},
                                {"peer", call_outcome.peer},
                                {"reason", call_outcome.reason}});
  SendLocalReply(connection, call_outcome, call.id);
}

CallOutcome FilterChain::RunFrom(std::size_t position, Call* call) const {
  if (position == filters_.size()) {
    return CallOutcome::NotExecuted("route", "no filter handled the call");
  }
  return filters_[position]->Handle(
      call, [this, position](Call* next_call) { return RunFrom(position + 1, next_call); });
}

void FilterChain::HandleFault(ServerConnection* connection, int http_status,
                              const absl::Status& fault) {
  SendLocalReply(connection,
                 CallOutcome::NotExecuted("framing", std::string(fault.message()), http_status),
                 RequestId());
}

void FilterChain::HandleOverflow(ServerConnection* connection) {
  auto call_outcome = CallOutcome::NotExecuted("accept", "too many connections");
  call_outcome.retry_after = 1;
  SendLocalReply(connection, call_outcome, RequestId());
}

}  // namespace primroseweir
