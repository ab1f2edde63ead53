#include "primroseweir/filters/call_key_filter.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

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

constexpr char kKeyField[] = "Primroseweir-Call-Key";
constexpr char kForwardedField[] = "Primroseweir-Forwarded";
constexpr auto kConnectTimeout = std::chrono::seconds(1);

// An answer for a call that this instance must not start. Only a caller that never sent the key
// before can be sure that it did not run.
CallOutcome MustNotStart(const Call& call, const std::string& reason) {
  const bool first = call.request->fields.Get("Primroseweir-Attempt") == "1";
  return first ? CallOutcome::NotExecuted("call-key", reason)
               : CallOutcome::Unknown("call-key", reason);
}

CallOutcome Lost(const absl::Status& status, const SocketAddress& issuer) {
  auto end = CallOutcome::Unknown("forward", std::string(status.message()),
                                  absl::IsDeadlineExceeded(status) ? 504 : 502);
  end.peer = issuer.ToString();
  return end;
}

RequestHead ForwardedHead(const Call& call) {
  RequestHead head = *call.request;
  RemoveConnectionFields(&head.fields);
  const auto left = std::max<std::int64_t>(ToMilliseconds(call.deadline - MonotonicNow()), 1);
  head.fields.Set("Primroseweir-Deadline-Ms", std::to_string(left));
  head.fields.Set("Primroseweir-Request-Id", call.id.value());
  head.fields.Set(kForwardedField, "1");
  head.keep_alive = false;
  head.body = {call.body.empty() ? BodyKind::kNone : BodyKind::kLength, call.body.size()};
  return head;
}

Outcome OutcomeOf(const ResponseHead& head) {
  const auto name = head.fields.Get("Primroseweir-Outcome");
  if (name == NameOf(Outcome::kNotExecuted)) {
    return Outcome::kNotExecuted;
  }
  return name == NameOf(Outcome::kExecuted) ? Outcome::kExecuted : Outcome::kUnknown;
}

// Passes the issuer's answer on as it is.
CallOutcome PassForwarded(Call* call, ClientConnection* issuer, ResponseHead head) {
  CallOutcome end;
  end.answered = true;
  end.outcome = OutcomeOf(head);
  end.http_status = head.status;
  RemoveConnectionFields(&head.fields);
  head.keep_alive = true;
  call->sink->Begin(head);
  const auto never = MonotonicNow() + std::chrono::hours(24);
  while (true) {
    const auto piece = issuer->ReadBody(never);
    if (!piece.ok()) {
      call->sink->Abort();
      return end;
    }
    const auto status = issuer->IsResponseComplete() ? call->sink->End(*piece, never)
                                                     : call->sink->Write(*piece, never);
    if (!status.ok() || issuer->IsResponseComplete()) {
      return end;
    }
  }
}

}  // namespace

CallOutcome CallKeyFilter::Handle(Call* call, const Next& next) {
  const auto* text = call->request->fields.Find(kKeyField);
  if (text == nullptr) {
    return next(call);
  }
  if (call->request->fields.Count(kKeyField) > 1) {
    return CallOutcome::NotExecuted("call-key", "more than one call key", 400);
  }
  if (!call->body_complete || call->body.size() > BodyFilter::kBufferedBytes) {
    return CallOutcome::NotExecuted("call-key", "the body of a call with a key exceeds 64 KB", 413);
  }
  const auto key = ParseCallKey(*text);
  if (!key.ok() || !issuer_->Verify(*key)) {
    return MustNotStart(*call, "the call key is not valid");
  }
  return issuer_->IsOwn(*key) ? StartHere(call, *text, *key, next) : Forward(call, *key);
}

CallOutcome CallKeyFilter::StartHere(Call* call, const std::string& text, const CallKey& key,
                                     const Next& next) {
  auto decision = table_->Begin(text, call->fingerprint, key.expiry);
  switch (decision.result) {
    case StartedCallTable::LookupResult::kStart:
      return Run(call, text, next);
    case StartedCallTable::LookupResult::kRunning:
      if (!StartedCallTable::Wait(decision.run.get(), call->deadline, &decision.entry)) {
        return CallOutcome::Unknown("call-key", "the first run has not ended by the deadline", 504);
      }
      return Repeat(call, decision.entry);
    case StartedCallTable::LookupResult::kEnded:
      return Repeat(call, decision.entry);
    case StartedCallTable::LookupResult::kRequestMismatch:
      // The key may have run the other request; this one did not run.
      return CallOutcome::NotExecuted("call-key", "the key was used for a different request", 400);
    case StartedCallTable::LookupResult::kExpired:
      return MustNotStart(*call, "the call key has expired");
    case StartedCallTable::LookupResult::kFull:
      break;
  }
  return CallOutcome::NotExecuted("call-key", "the table of started calls is full");
}

CallOutcome CallKeyFilter::Run(Call* call, const std::string& text, const Next& next) {
  RecordingSink sink(call->sink, BodyFilter::kBufferedBytes);
  auto* const outer = call->sink;
  call->sink = &sink;
  auto end = next(call);
  call->sink = outer;
  table_->Finish(text, {end.outcome, sink.Take()});
  return end;
}

CallOutcome CallKeyFilter::Repeat(Call* call, const StartedCallTable::Entry& entry) const {
  if (entry.outcome == Outcome::kNotExecuted) {
    return CallOutcome::NotExecuted("call-key", "the first run with this key was not run");
  }
  if (entry.outcome == Outcome::kUnknown) {
    return CallOutcome::Unknown("call-key",
                                "it is not known whether the first run with this key ran");
  }
  if (entry.response == nullptr) {
    auto end =
        CallOutcome::Unknown("call-key", "the call ran; its answer is no longer stored", 409);
    end.outcome = Outcome::kExecuted;
    return end;
  }
  ResponseHead head;
  head.status = entry.response->http_status;
  *head.fields.mutable_all() = entry.response->fields;
  head.fields.Set("Primroseweir-Request-Id", call->id.value());
  const auto& body = entry.response->body;
  head.body = {body.empty() ? BodyKind::kNone : BodyKind::kLength, body.size()};
  call->sink->Begin(head);
  // A caller that has gone away again needs no answer.
  call->sink->End(body, call->deadline).IgnoreError();
  CallOutcome end;
  end.answered = true;
  end.http_status = head.status;
  return end;
}

CallOutcome CallKeyFilter::Forward(Call* call, const CallKey& key) const {
  const auto address = fleet_->Find(key.issuer, key.incarnation);
  if (!address || call->request->fields.Find(kForwardedField) != nullptr) {
    return MustNotStart(*call, "the issuer of the call key is not reachable");
  }
  auto connection =
      ClientConnection::Open(*address, std::min(call->deadline, MonotonicNow() + kConnectTimeout));
  if (!connection.ok()) {
    return MustNotStart(*call, "the issuer of the call key is not reachable");
  }
  auto& issuer = **connection;
  issuer.socket()->set_watched(call->caller->socket()->descriptor());
  const auto sent = issuer.Send(ForwardedHead(*call), call->body, call->deadline);
  if (!sent.ok()) {
    return issuer.socket()->bytes_sent() == 0 ? MustNotStart(*call, "the issuer does not listen")
                                              : Lost(sent, *address);
  }
  // The issuer answers at the deadline; its answer says more than a timeout here.
  const auto head = issuer.ReadHead(call->deadline + std::chrono::milliseconds(100));
  return head.ok() ? PassForwarded(call, &issuer, **head) : Lost(head.status(), *address);
}

}  // namespace primroseweir
