#include "primroseweir/filters/detail/attempt.h"

#include <poll.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "primroseweir/customers/caller_credentials.h"
#include "primroseweir/filters/call.h"
#include "primroseweir/http/message_writer.h"
#include "primroseweir/http/server_connection.h"
#include "primroseweir/http/socket_wait.h"

namespace primroseweir::detail {
namespace {

constexpr char kCustomerField[] = "Primroseweir-Customer";

std::optional<std::uint32_t> NumberAfter(std::string_view text, std::string_view name) {
  const auto start = text.find(name);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  text.remove_prefix(start + name.size());
  std::uint32_t number = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
  return result.ec == std::errc() ? std::optional<std::uint32_t>(number) : std::nullopt;
}

bool HasLeavingField(const ResponseHead& head) {
  return head.fields.Get("X-Leaving") == "1" ||
         (head.status == 503 && head.fields.HasToken("Connection", "close") &&
          head.fields.Get("X-Refused") == "leaving");
}

}  // namespace

std::optional<LoadReport> ParseLoadReport(std::string_view text) {
  const auto in_flight = NumberAfter(text, "in_flight=");
  if (!in_flight) {
    return std::nullopt;
  }
  LoadReport report;
  report.in_flight = *in_flight;
  report.latency = std::chrono::milliseconds(NumberAfter(text, "latency_ms=").value_or(0));
  return report;
}

RequestHead UpstreamHead(const Call& call, Instant now) {
  RequestHead head = *call.request;
  head.target = call.target;
  RemoveHopByHopFields(&head.fields);
  head.fields.Remove("Primroseweir-Forwarded");
  const auto remaining_ms = std::max<std::int64_t>(ToMilliseconds(call.deadline - now), 1);
  head.fields.Set("Primroseweir-Deadline-Ms", std::to_string(remaining_ms));
  head.fields.Set("Primroseweir-Depth", std::to_string(call.depth + 1));
  head.fields.Set("Primroseweir-Request-Id", call.id.value());
  if (call.must_hide_key) {
    ReplaceCallerCredentials(&head.fields, kCustomerField,
                             call.customer ? &call.customer->name : nullptr);
  }
  head.keep_alive = true;
  return head;
}

Attempt::Attempt(UpstreamLease lease, PooledConnection connection)
    : lease_(std::move(lease)),
      connection_(std::move(connection)),
      bytes_sent_before_(connection_->socket()->bytes_sent()),
      bytes_received_before_(connection_->socket()->bytes_received()),
      started_at_(MonotonicNow()) {}

absl::Status Attempt::Send(Call* call, const RequestHead& head) {
  auto* socket = connection_->socket();
  socket->set_watched_descriptor(call->caller->socket()->descriptor());
  socket->set_stop_on_input(true);
  if (call->is_body_complete) {
    return connection_->Send(head, call->body, call->deadline);
  }
  connection_->Begin(head);
  auto status = connection_->WriteBody(call->body, call->deadline);
  return status.ok() ? StreamRemainingBody(call) : status;
}

absl::Status Attempt::StreamRemainingBody(Call* call) {
  while (true) {
    const auto piece = call->caller->TryReadBody();
    if (!piece.ok()) {
      return absl::CancelledError("the request body could not be read from the caller");
    }
    if (!piece->has_value()) {
      const auto limit = std::min(call->deadline, MonotonicNow() + call->body_idle_timeout);
      auto status = WaitForAny(
          {{descriptor(), POLLIN}, {call->caller->socket()->descriptor(), POLLIN}}, -1, limit);
      if (status.ok() && connection_->socket()->IsReadable()) {
        return absl::AbortedError("the upstream responded before the end of the request body");
      }
      if (!status.ok()) {
        return status;
      }
      continue;
    }
    auto status = (*piece)->empty() ? connection_->End("", call->deadline)
                                    : connection_->WriteBody(**piece, call->deadline);
    if (!status.ok() || (*piece)->empty()) {
      return status;
    }
  }
}

absl::StatusOr<const ResponseHead*> Attempt::TryReadHead() {
  const auto head = connection_->TryReadHead();
  if (head.ok() && *head != nullptr) {
    head_ = *head;
    time_to_head_ = MonotonicNow() - started_at_;
  }
  return head.ok() ? absl::StatusOr<const ResponseHead*>(head_) : head.status();
}

bool Attempt::WasRefused() const {
  return head_ != nullptr && head_->status == 503 && head_->fields.Get("X-Refused") == "not-run";
}

void Attempt::Finish(AttemptEnd outcome) {
  if (finished_) {
    return;
  }
  finished_ = true;
  CallResult result;
  result.outcome = outcome;
  result.time_to_head = time_to_head_;
  if (WasRefused()) {
    // Responses carry no id, so a copy of the refusal would be taken for the response to the next
    // call, which may then be executed.
    connection_.PreventReuse();
  }
  if (head_ != nullptr) {
    result.report = ParseLoadReport(head_->fields.Get("X-Load"));
    result.leaving = HasLeavingField(*head_);
  }
  lease_.Finish(result, MonotonicNow());
}

}  // namespace primroseweir::detail
