#include "platform_upstream.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_server_exchange.h"

namespace primroseweir::standin {
namespace {

constexpr int kSlots = 4;
constexpr int kMisdirected = 421;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;

}  // namespace

PlatformUpstream::PlatformUpstream(EventLoop* loop, Options options,
                                   ExecutionCounts* execution_counts,
                                   FirstExecutions* first_executions, CallerLines* caller_lines)
    : loop_(loop),
      options_(std::move(options)),
      execution_counts_(execution_counts),
      first_executions_(first_executions),
      caller_lines_(caller_lines),
      port_(loop, this, [] { return CallerLimits(); }) {}

ResponseHead PlatformUpstream::MakeHead(int status, const std::string& request) const {
  ResponseHead head;
  head.status = status;
  if (!request.empty()) {
    head.fields.Add("X-Request-Id", request);
  }
  if (mode_ == "leave") {
    head.fields.Add("Server-Leaving", "1");
  }
  return head;
}

std::string PlatformUpstream::StoreEntry(const std::string& state) const {
  const nlohmann::json entry = {{"service", options_.service},
                                {"address", options_.listed_address.ToString()},
                                {"zone", options_.data_centre},
                                {"version", "v1"},
                                {"maxConcurrency", kSlots},
                                {"state", state},
                                {"coldMs", 0},
                                {"born", started_ms_},
                                {"sequence", 1}};
  return entry.dump();
}

std::string PlatformUpstream::LoadReport() const {
  return std::to_string(in_flight_.size()) + ",0," + std::to_string(kSlots) + ",100";
}

void PlatformUpstream::OnRequest(HttpServerExchange* stream, RequestHead* head, std::string body) {
  ++requests_;
  const auto request = head->fields.Get("X-Request-Id");
  RecordCaller(request, *head);
  if (mode_ == "pause") {
    auto response = MakeHead(kUnavailable, request);
    response.fields.Add("X-Not-Executed", "1");
    response.fields.Add("Retry-After", std::to_string(kPauseSeconds));
    stream->Respond(std::move(response), "");
    return;
  }
  if (head->target == "/health") {
    auto response = MakeHead(200, "");
    response.fields.Add("X-Instance-Id", options_.id);
    response.fields.Add("X-Backend-Load", LoadReport());
    stream->Respond(std::move(response), "");
    return;
  }
  const auto expected = head->fields.Get("X-Expected-Instance");
  if (!expected.empty() && expected != options_.id) {
    stream->Respond(MakeHead(kMisdirected, request), "");
  } else if (mode_ == "refuse") {
    auto response = MakeHead(kUnavailable, request);
    response.fields.Add("X-Not-Executed", "1");
    stream->Respond(std::move(response), "");
  } else {
    Execute(stream, request, head->method + " " + head->target + " " + body);
  }
}

void PlatformUpstream::RecordCaller(const std::string& request, const RequestHead& head) {
  const auto customer = head.fields.Find("X-Tenant");
  const auto authorization = head.fields.Find("Authorization");
  if (customer || authorization) {
    caller_lines_->push_back((request.empty() ? "-" : request) + " " +
                             std::string(customer.value_or("-")) + " " +
                             std::string(authorization.value_or("-")));
  }
}

void PlatformUpstream::Execute(HttpServerExchange* stream, const std::string& request,
                               const std::string& body) {
  ++executions_;
  ++(*execution_counts_)[request];
  first_executions_->try_emplace(request, ToMilliseconds(MonotonicNow().time_since_epoch()));
  if (mode_ == "reset") {
    stream->Abort();
    return;
  }
  in_flight_.push_back({stream, request, body, nullptr});
  if (mode_ == "silent") {
    return;
  }
  in_flight_.back().timer = std::make_unique<Timer>(loop_, [this, stream] { Finish(stream); });
  in_flight_.back().timer->Start(options_.execution_time);
}

void PlatformUpstream::Finish(HttpServerExchange* stream) {
  for (auto it = in_flight_.begin(); it != in_flight_.end(); ++it) {
    if (it->stream == stream) {
      auto response = MakeHead(mode_ == "fail" ? kInternalError : 200, it->request);
      response.fields.Add("X-Response-Signature", options_.id + "." + it->request);
      response.fields.Add("X-Backend-Load", LoadReport());
      const auto body = std::move(it->body);
      in_flight_.erase(it);
      stream->Respond(std::move(response), body + " at " + options_.id);
      return;
    }
  }
}

void PlatformUpstream::OnCallerDisconnected(HttpServerExchange* stream) {
  in_flight_.remove_if([stream](const Execution& entry) { return entry.stream == stream; });
}

}  // namespace primroseweir::standin
