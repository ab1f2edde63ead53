#include "primroseweir/filters/call_key_filter.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "primroseweir/base/rendezvous.h"
#include "primroseweir/filters/body_filter.h"
#include "primroseweir/filters/call.h"
#include "primroseweir/filters/fleet.h"
#include "primroseweir/filters/recording_sink.h"
#include "primroseweir/filters/response_sink.h"
#include "primroseweir/http/client_connection.h"
#include "primroseweir/http/message_writer.h"
#include "primroseweir/http/server_connection.h"
#include "primroseweir/keys/call_key.h"
#include "primroseweir/keys/call_key_issuer.h"

namespace primroseweir {
namespace {

constexpr char kCallKeyField[] = "Primroseweir-Call-Key";
constexpr char kForwardedField[] = "Primroseweir-Forwarded";
constexpr auto kConnectTimeout = std::chrono::seconds(1);

// Returns the outcome of a call that must not be started here. Only on the caller's first attempt
// with the key is it certain that the call was not executed.
CallOutcome RefuseToStart(const Call& call, const std::string& reason) {
  const bool is_first_attempt = call.request->fields.Get("Primroseweir-Attempt") == "1";
  return is_first_attempt ? CallOutcome::NotExecuted("call-key", reason)
                          : CallOutcome::Unknown("call-key", reason);
}

CallOutcome LostConnectionOutcome(const absl::Status& status, const SocketAddress& issuer) {
  auto call_outcome = CallOutcome::Unknown("forward", std::string(status.message()),
                                           absl::IsDeadlineExceeded(status) ? 504 : 502);
  call_outcome.peer = issuer.ToString();
  return call_outcome;
}

RequestHead MakeForwardedHead(const Call& call) {
  RequestHead head = *call.request;
  RemoveHopByHopFields(&head.fields);
  const auto remaining_ms =
      std::max<std::int64_t>(ToMilliseconds(call.deadline - MonotonicNow()), 1);
  head.fields.Set("Primroseweir-Deadline-Ms", std::to_string(remaining_ms));
  head.fields.Set("Primroseweir-Request-Id", call.id.value());
  head.fields.Set(kForwardedField, "1");
  head.keep_alive = false;
  head.body = {call.body.empty() ? BodyKind::kNone : BodyKind::kLength, call.body.size()};
  return head;
}

// Distinguishes requests with the same call key. Includes the customer, so that no customer gets
// the stored response to another one.
std::uint64_t CallKeyFingerprint(const Call& call) {
  return call.customer
             ? StableHash(std::to_string(call.fingerprint) + " " + call.customer->name.value())
             : call.fingerprint;
}

ExecutionOutcome OutcomeOf(const ResponseHead& head) {
  const auto name = head.fields.Get("Primroseweir-Outcome");
  if (name == NameOf(ExecutionOutcome::kNotExecuted)) {
    return ExecutionOutcome::kNotExecuted;
  }
  return name == NameOf(ExecutionOutcome::kExecuted) ? ExecutionOutcome::kExecuted
                                                     : ExecutionOutcome::kUnknown;
}

// Forwards the issuer's response unchanged, except for the fields of the connection.
CallOutcome RelayIssuerResponse(Call* call, ClientConnection* issuer, ResponseHead head) {
  call->was_forwarded = true;
  CallOutcome call_outcome;
  call_outcome.has_response_begun = true;
  call_outcome.outcome = OutcomeOf(head);
  call_outcome.http_status = head.status;
  RemoveHopByHopFields(&head.fields);
  head.keep_alive = true;
  call->sink->Begin(head);
  const auto no_deadline = MonotonicNow() + std::chrono::hours(24);
  while (true) {
    const auto piece = issuer->ReadBody(no_deadline);
    if (!piece.ok()) {
      call->sink->Abort();
      return call_outcome;
    }
    const auto status = issuer->IsResponseComplete() ? call->sink->End(*piece, no_deadline)
                                                     : call->sink->Write(*piece, no_deadline);
    if (!status.ok() || issuer->IsResponseComplete()) {
      return call_outcome;
    }
  }
}

}  // namespace

CallOutcome CallKeyFilter::Handle(Call* call, const Next& next) {
  const auto key_field = call->request->fields.Find(kCallKeyField);
  if (!key_field) {
    return next(call);
  }
  const std::string key_text(*key_field);
  if (call->request->fields.Count(kCallKeyField) > 1) {
    return CallOutcome::NotExecuted("call-key", "more than one call key", 400);
  }
  if (!call->is_body_complete || call->body.size() > BodyFilter::kBufferedBytes) {
    return CallOutcome::NotExecuted("call-key", "the body of a call with a call key exceeds 64 KB",
                                    413);
  }
  const auto key = ParseCallKey(key_text);
  if (!key.ok() || !issuer_->Verify(*key)) {
    return RefuseToStart(*call, "the call key is not valid");
  }
  return issuer_->IsIssuedHere(*key) ? HandleAtIssuer(call, key_text, *key, next)
                                     : ForwardToIssuer(call, *key);
}

CallOutcome CallKeyFilter::HandleAtIssuer(Call* call, const std::string& key_text,
                                          const CallKey& key, const Next& next) {
  auto decision = table_->Begin(key_text, CallKeyFingerprint(*call), key.expiry);
  switch (decision.result) {
    case StartedCallTable::LookupResult::kStart:
      return ExecuteAndRecord(call, key_text, next);
    case StartedCallTable::LookupResult::kRunning:
      if (!StartedCallTable::Wait(decision.execution.get(), call->deadline, &decision.entry)) {
        return CallOutcome::Unknown(
            "call-key", "the first attempt with this call key has not ended by the deadline", 504);
      }
      return ReplayOutcome(call, decision.entry);
    case StartedCallTable::LookupResult::kEnded:
      return ReplayOutcome(call, decision.entry);
    case StartedCallTable::LookupResult::kRequestMismatch:
      // The other request with this key may have been executed; this one was not.
      return CallOutcome::NotExecuted("call-key", "the key was used for a different request", 400);
    case StartedCallTable::LookupResult::kExpired:
      return RefuseToStart(*call, "the call key has expired");
    case StartedCallTable::LookupResult::kFull:
      break;
  }
  return CallOutcome::NotExecuted("call-key", "the table of started calls is full");
}

CallOutcome CallKeyFilter::ExecuteAndRecord(Call* call, const std::string& key_text,
                                            const Next& next) {
  RecordingSink sink(call->sink, BodyFilter::kBufferedBytes);
  auto* const original_sink = call->sink;
  call->sink = &sink;
  auto call_outcome = next(call);
  call->sink = original_sink;
  table_->Finish(key_text, {call_outcome.outcome, sink.RecordedResponse()});
  return call_outcome;
}

CallOutcome CallKeyFilter::ReplayOutcome(Call* call, const StartedCallTable::Entry& entry) const {
  if (entry.outcome == ExecutionOutcome::kNotExecuted) {
    return CallOutcome::NotExecuted("call-key",
                                    "the first attempt with this call key was not executed");
  }
  if (entry.outcome == ExecutionOutcome::kUnknown) {
    return CallOutcome::Unknown("call-key",
                                "the outcome of the first attempt with this call key is unknown");
  }
  if (entry.response == nullptr) {
    auto call_outcome = CallOutcome::Unknown(
        "call-key", "the call was executed, but its response is not stored", 409);
    call_outcome.outcome = ExecutionOutcome::kExecuted;
    return call_outcome;
  }
  ResponseHead head;
  head.status = entry.response->http_status;
  head.fields.Assign(entry.response->fields);
  head.fields.Set("Primroseweir-Request-Id", call->id.value());
  const auto& body = entry.response->body;
  head.body = {body.empty() ? BodyKind::kNone : BodyKind::kLength, body.size()};
  call->sink->Begin(head);
  // Ignores the error: a caller that has disconnected again needs no response.
  call->sink->End(body, call->deadline).IgnoreError();
  CallOutcome call_outcome;
  call_outcome.has_response_begun = true;
  call_outcome.http_status = head.status;
  return call_outcome;
}

CallOutcome CallKeyFilter::ForwardToIssuer(Call* call, const CallKey& key) const {
  const auto address = fleet_->Find(key.issuer, key.incarnation);
  if (!address || call->request->fields.Find(kForwardedField).has_value()) {
    return RefuseToStart(*call, "the issuer of the call key is not reachable");
  }
  auto connection =
      ClientConnection::Open(*address, std::min(call->deadline, MonotonicNow() + kConnectTimeout));
  if (!connection.ok()) {
    return RefuseToStart(*call, "the issuer of the call key is not reachable");
  }
  auto& issuer = **connection;
  issuer.socket()->set_watched_descriptor(call->caller->socket()->descriptor());
  const auto send_status = issuer.Send(MakeForwardedHead(*call), call->body, call->deadline);
  if (!send_status.ok()) {
    return issuer.socket()->bytes_sent() == 0
               ? RefuseToStart(*call, "the call could not be sent to the issuer of the call key")
               : LostConnectionOutcome(send_status, *address);
  }
  // Waits beyond the deadline: the issuer responds at the deadline, and its response carries more
  // information than a local timeout.
  const auto head = issuer.ReadHead(call->deadline + std::chrono::milliseconds(100));
  return head.ok() ? RelayIssuerResponse(call, &issuer, **head)
                   : LostConnectionOutcome(head.status(), *address);
}

}  // namespace primroseweir
