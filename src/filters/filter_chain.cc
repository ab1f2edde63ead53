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

std::string BodyOf(const CallOutcome& end) {
  nlohmann::ordered_json body;
  body["outcome"] = NameOf(end.outcome);
  body["step"] = end.step;
  body["peer"] = end.peer;
  body["reason"] = end.reason;
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

void Respond(ServerConnection* connection, const CallOutcome& end, const RequestId& id) {
  ResponseHead head;
  head.status = end.http_status;
  head.fields.Add("Content-Type", "application/json");
  head.fields.Add("Primroseweir-Outcome", NameOf(end.outcome));
  if (!id.empty()) {
    head.fields.Add("Primroseweir-Request-Id", id.value());
  }
  if (end.retry_after > 0) {
    head.fields.Add("Retry-After", std::to_string(end.retry_after));
  }
  // A caller that has gone away needs no answer.
  connection->Respond(head, BodyOf(end)).IgnoreError();
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
  call.arrived = MonotonicNow();
  const auto end = RunFrom(0, &call);
  if (end.answered) {
    return;
  }
  events_->Emit("call_failed", {{"request", call.id.value()},
                                {"service", call.service.value()},
                                {"outcome", NameOf(end.outcome)},
                                {"status", std::to_string(end.http_status)},
                                {"step", end.step},
                                {"peer", end.peer},
                                {"reason", end.reason}});
  Respond(connection, end, call.id);
}

CallOutcome FilterChain::RunFrom(std::size_t position, Call* call) const {
  if (position == filters_.size()) {
    return CallOutcome::NotExecuted("route", "no filter handled the call");
  }
  return filters_[position]->Handle(
      call, [this, position](Call* passed) { return RunFrom(position + 1, passed); });
}

void FilterChain::HandleFault(ServerConnection* connection, int http_status,
                              const absl::Status& fault) {
  Respond(connection,
          CallOutcome::NotExecuted("framing", std::string(fault.message()), http_status),
          RequestId());
}

void FilterChain::HandleOverflow(ServerConnection* connection) {
  auto end = CallOutcome::NotExecuted("accept", "too many connections");
  end.retry_after = 1;
  Respond(connection, end, RequestId());
}

}  // namespace primroseweir
