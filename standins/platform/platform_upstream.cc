#include "platform_upstream.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_server_stream.h"

namespace primroseweir::standin {
namespace {

constexpr int kSlots = 4;
constexpr int kMisdirected = 421;
constexpr int kFailure = 500;
constexpr int kUnavailable = 503;

ResponseHead HeadOf(int status, const std::string& request) {
  ResponseHead head;
  head.status = status;
  if (!request.empty()) {
    head.fields.Add("X-Request-Id", request);
  }
  return head;
}

}  // namespace

PlatformUpstream::PlatformUpstream(EventLoop* loop, Options options, Ledger* ledger)
    : loop_(loop),
      options_(std::move(options)),
      ledger_(ledger),
      port_(loop, this, [] { return CallerLimits(); }) {}

std::string PlatformUpstream::Entry(const std::string& state) const {
  const nlohmann::json entry = {{"service", options_.service},
                                {"address", options_.listed.ToString()},
                                {"zone", options_.data_centre},
                                {"version", "v1"},
                                {"maxConcurrency", kSlots},
                                {"state", state},
                                {"coldMs", 0},
                                {"born", 1000},
                                {"sequence", 1}};
  return entry.dump();
}

std::string PlatformUpstream::Load() const {
  return std::to_string(running_.size()) + ",0," + std::to_string(kSlots) + ",100";
}

void PlatformUpstream::OnRequest(HttpServerStream* stream, RequestHead* head, std::string body) {
  const auto request = head->fields.Get("X-Request-Id");
  if (head->target == "/health") {
    auto response = HeadOf(200, "");
    response.fields.Add("X-Instance-Id", options_.id);
    response.fields.Add("X-Backend-Load", Load());
    stream->Respond(std::move(response), "");
    return;
  }
  const auto expected = head->fields.Get("X-Expected-Instance");
  if (!expected.empty() && expected != options_.id) {
    stream->Respond(HeadOf(kMisdirected, request), "");
  } else if (mode_ == "refuse") {
    auto response = HeadOf(kUnavailable, request);
    response.fields.Add("X-Not-Executed", "1");
    stream->Respond(std::move(response), "");
  } else {
    Run(stream, request, head->method + " " + head->target + " " + body);
  }
}

void PlatformUpstream::Run(HttpServerStream* stream, const std::string& request,
                           const std::string& body) {
  ++runs_;
  ++(*ledger_)[request];
  if (mode_ == "reset") {
    stream->Abort();
    return;
  }
  running_.push_back({stream, request, body, nullptr});
  if (mode_ == "silent") {
    return;
  }
  running_.back().timer = std::make_unique<Timer>(loop_, [this, stream] { Finish(stream); });
  running_.back().timer->Start(options_.work);
}

void PlatformUpstream::Finish(HttpServerStream* stream) {
  for (auto it = running_.begin(); it != running_.end(); ++it) {
    if (it->stream == stream) {
      auto response = HeadOf(mode_ == "fail" ? kFailure : 200, it->request);
      response.fields.Add("X-Response-Signature", options_.id + "." + it->request);
      response.fields.Add("X-Backend-Load", Load());
      const auto body = std::move(it->body);
      running_.erase(it);
      stream->Respond(std::move(response), body + " at " + options_.id);
      return;
    }
  }
}

void PlatformUpstream::OnCallerDisconnected(HttpServerStream* stream) {
  running_.remove_if([stream](const Work& work) { return work.stream == stream; });
}

}  // namespace primroseweir::standin
