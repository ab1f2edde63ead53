#include "primroseweir/filters/route_filter.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "primroseweir/filters/call.h"
#include "primroseweir/http/request_head.h"

namespace primroseweir {
namespace {

constexpr std::uint64_t kDefaultDeadlineMilliseconds = 10'000;
constexpr std::uint64_t kMaxDeadlineMilliseconds = 3'600'000;
// Calls nest at most 8 deep, so the innermost one has depth 7.
constexpr std::uint64_t kMaxDepth = 7;

// Returns the number in a header field, `fallback` when the field is missing, or nullopt when it is
// not a number of at most 12 digits.
std::optional<std::uint64_t> ParseNumber(const HeaderFields& fields, const char* name,
                                         std::uint64_t fallback) {
  const auto text = fields.Find(name);
  if (!text) {
    return fallback;
  }
  const bool is_number =
      !text->empty() && text->size() <= 12 &&
      std::all_of(text->begin(), text->end(), [](char c) { return c >= '0' && c <= '9'; });
  return is_number ? std::optional<std::uint64_t>(std::stoull(std::string(*text))) : std::nullopt;
}

bool IsReadMethod(const std::string& method) { return method == "GET" || method == "HEAD"; }

Priority PriorityOf(const Call& call) {
  if (!call.is_idempotent) {
    return Priority::kNonIdempotent;
  }
  const auto requested = call.request->fields.Get("Primroseweir-Priority");
  if (requested == "normal") {
    return Priority::kNormal;
  }
  return requested == "refreshable" || call.request->method == "GET" ? Priority::kRefreshable
                                                                     : Priority::kNormal;
}

void SplitTarget(Call* call) {
  const auto& target = call->request->target;
  const auto end = target.find_first_of("/?", 1);
  call->service = ServiceName(target.substr(1, end - 1));
  call->target = end == std::string::npos ? "/" : target.substr(end);
  if (call->target[0] == '?') {
    call->target.insert(0, "/");
  }
}

}  // namespace

CallOutcome RouteFilter::Handle(Call* call, const Next& next) {
  const auto route_outcome = Route(call);
  return route_outcome.outcome == ExecutionOutcome::kExecuted ? next(call) : route_outcome;
}

CallOutcome RouteFilter::Route(Call* call) const {
  SplitTarget(call);
  const auto& fields = call->request->fields;
  const auto deadline_ms =
      ParseNumber(fields, "Primroseweir-Deadline-Ms", kDefaultDeadlineMilliseconds);
  const auto depth = ParseNumber(fields, "Primroseweir-Depth", 0);
  if (!deadline_ms || !depth) {
    return CallOutcome::NotExecuted(
        "route", "Primroseweir-Deadline-Ms or Primroseweir-Depth is not a number", 400);
  }
  if (*depth > kMaxDepth) {
    return CallOutcome::NotExecuted("route", "calls are nested more than 8 deep");
  }
  call->depth = static_cast<int>(*depth);
  call->deadline = call->arrived_at +
                   std::chrono::milliseconds(std::min(*deadline_ms, kMaxDeadlineMilliseconds));
  if (*deadline_ms == 0) {
    return CallOutcome::NotExecuted("deadline", "the deadline has passed", 504);
  }
  const auto table = services_->Load();
  const auto service = table->services.find(call->service);
  if (service == table->services.end()) {
    return CallOutcome::NotExecuted("route", "no such service");
  }
  const auto call_kind = service->second.call_kind;
  call->is_idempotent =
      (call_kind == ServiceCallKind::kIdempotent || IsReadMethod(call->request->method)) &&
      !fields.Find("Primroseweir-Call-Key").has_value();
  if (call_kind == ServiceCallKind::kUploads) {
    call->body_idle_timeout = RouteFilter::kUploadIdleTimeout;
  }
  call->priority = PriorityOf(*call);
  return CallOutcome();
}

}  // namespace primroseweir
