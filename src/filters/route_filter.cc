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

// The number in a field, or `fallback` when there is none. Nothing when it is not a number.
std::optional<std::uint64_t> NumberOf(const HeaderFields& fields, const char* name,
                                      std::uint64_t fallback) {
  const auto* text = fields.Find(name);
  if (text == nullptr) {
    return fallback;
  }
  const bool digits =
      !text->empty() && text->size() <= 12 &&
      std::all_of(text->begin(), text->end(), [](char c) { return c >= '0' && c <= '9'; });
  return digits ? std::optional<std::uint64_t>(std::stoull(*text)) : std::nullopt;
}

bool IsRead(const std::string& method) { return method == "GET" || method == "HEAD"; }

Priority PriorityOf(const Call& call) {
  if (!call.idempotent) {
    return Priority::kNonIdempotent;
  }
  const auto stated = call.request->fields.Get("Primroseweir-Priority");
  if (stated == "normal") {
    return Priority::kNormal;
  }
  return stated == "refreshable" || call.request->method == "GET" ? Priority::kRefreshable
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
  const auto fault = Route(call);
  return fault.outcome == Outcome::kExecuted ? next(call) : fault;
}

CallOutcome RouteFilter::Route(Call* call) const {
  SplitTarget(call);
  const auto& fields = call->request->fields;
  const auto milliseconds =
      NumberOf(fields, "Primroseweir-Deadline-Ms", kDefaultDeadlineMilliseconds);
  const auto depth = NumberOf(fields, "Primroseweir-Depth", 0);
  if (!milliseconds || !depth) {
    return CallOutcome::NotExecuted("route", "Primroseweir-Deadline-Ms or -Depth is not a number",
                                    400);
  }
  if (*depth > kMaxDepth) {
    return CallOutcome::NotExecuted("route", "calls are nested too deep");
  }
  call->depth = static_cast<int>(*depth);
  call->deadline =
      call->arrived + std::chrono::milliseconds(std::min(*milliseconds, kMaxDeadlineMilliseconds));
  if (*milliseconds == 0) {
    return CallOutcome::NotExecuted("deadline", "the deadline has passed", 504);
  }
  const auto table = services_->Load();
  const auto service = table->services.find(call->service);
  if (service == table->services.end()) {
    return CallOutcome::NotExecuted("route", "no such service");
  }
  const auto calls = service->second.calls;
  call->idempotent = (calls == ServiceCalls::kIdempotent || IsRead(call->request->method)) &&
                     fields.Find("Primroseweir-Call-Key") == nullptr;
  if (calls == ServiceCalls::kUploads) {
    call->body_idle_timeout = RouteFilter::kUploadIdleTimeout;
  }
  call->priority = PriorityOf(*call);
  return CallOutcome();
}

}  // namespace primroseweir
