#ifndef PRIMROSEWEIR_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
#define PRIMROSEWEIR_TESTS_GATEWAY_GATEWAY_FIXTURE_H_

#include <sys/mman.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/base/line_log.h"
#include "primroseweir/gateway/gateway.h"
#include "primroseweir/gateway/gateway_metrics.h"
#include "primroseweir/gateway/serving_state.h"
#include "primroseweir/routes/route_table.h"
#include "support/loop_server.h"

namespace primroseweir::testing {

using Reply = LoopServer::Reply;
using Request = LoopServer::Request;
using Then = LoopServer::Then;

inline CallHeaderNames MakeHeaderNames() {
  CallHeaderNames fields;
  fields.request_id = "X-Id";
  fields.deadline = "X-Deadline";
  fields.expected_upstream = "X-Expected";
  fields.load = "X-Load";
  fields.not_executed = "X-Not-Run";
  fields.signature = "X-Signature";
  fields.leaving = "X-Leaving";
  fields.upstream_id = "X-Upstream";
  fields.warm_up_left = "X-Warm-Up";
  fields.key_scheme = "Token";
  fields.customer = "X-Customer";
  return fields;
}

// Returns a response as upstreams send it, which echoes the request id.
inline std::string FormatResponse(const Request& request, int status, const std::string& body,
                                  const std::string& fields = "X-Signature: s\r\n") {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nX-Id: " + request.head.fields.Get("X-Id") + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Runs a gateway and scripted upstreams on one event loop.
class GatewayFixture {
 public:
  explicit GatewayFixture(Gateway::Options options = Gateway::Options())
      : log_descriptor_(memfd_create("log", MFD_CLOEXEC)), log_("test", log_descriptor_) {
    options.caller_address = RandomLoopback();
    options.fields = MakeHeaderNames();
    options.balancer.data_centre = DataCentre("here");
    options.retry_budget = {0.2, 1000, std::chrono::seconds(10)};
    gateway_ = std::make_unique<Gateway>(&loop_, options, &log_, &metrics_);
    REQUIRE(gateway_->Listen().ok());
  }

  LoopServer& AddUpstream(LoopServer::Script script, const std::string& data_centre = "here",
                          std::uint32_t slots = 4, LoopServer::Script early = nullptr) {
    servers_.push_back(std::make_unique<LoopServer>(&loop_, std::move(script), std::move(early)));
    AddUpstreamRecord(servers_.back()->address(), data_centre, slots);
    return *servers_.back();
  }

  // Adds an upstream at `address` to the list that Apply() publishes.
  void AddUpstreamRecord(const SocketAddress& address, const std::string& data_centre = "here",
                         std::uint32_t slots = 4) {
    UpstreamRecord record;
    record.id = UpstreamId("u" + std::to_string(upstreams_.size() + 1));
    record.service = ServiceName("s");
    record.data_centre = DataCentre(data_centre);
    record.address = address;
    record.slots = slots;
    record.warm_up_left = warm_up_left;
    upstreams_.push_back(record);
  }

  void Apply(CallKind kind) {
    Route route;
    route.host = "h";
    route.prefix = "/x/";
    route.targets = {{ServiceName("s"), 1}};
    route.kind = kind;
    route.timeout = timeout;
    route.latency_objective = latency_objective;
    route.max_attempts = 2;
    route.priority = priority;
    route.is_public = is_public;
    std::vector<Route> routes = {route};
    for (const auto& [prefix, is_prefix_public] : nested_prefixes) {
      routes.push_back(route);
      routes.back().prefix = prefix;
      routes.back().is_public = is_prefix_public;
    }
    auto state = std::make_shared<ServingState>();
    state->routes = std::make_shared<RouteTable>(
        1, std::move(routes),
        std::map<ServiceName, ServiceSettings>{{ServiceName("s"), service_settings}}, limits,
        customers);
    state->upstreams = upstreams_;
    gateway_->Apply(state, EventLoop::Now());
  }

  std::unique_ptr<LoopCaller> StartCall(const std::string& target = "/x/1") {
    auto caller = std::make_unique<LoopCaller>(&loop_, gateway_->address());
    caller->Send("POST " + target +
                 " HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nX-Deadline: 2000\r\nContent-Length: "
                 "2\r\n\r\nhi");
    return caller;
  }

  // Starts a call with further header fields, each of which ends with CR LF.
  std::unique_ptr<LoopCaller> StartCallWith(const std::string& fields,
                                            const std::string& target = "/x/1") {
    auto caller = std::make_unique<LoopCaller>(&loop_, gateway_->address());
    caller->Send("POST " + target + " HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nX-Deadline: 2000\r\n" +
                 fields + "Content-Length: 2\r\n\r\nhi");
    return caller;
  }

  // Runs one call until its response or the end of the connection.
  std::unique_ptr<LoopCaller> Call(const std::string& target = "/x/1") {
    auto caller = StartCall(target);
    RunUntil(&loop_, [&] { return caller->status() != 0 || caller->ended(); });
    return caller;
  }

  std::size_t request_count() const {
    std::size_t count = 0;
    for (const auto& server : servers_) {
      count += server->requests().size();
    }
    return count;
  }

  // All log lines so far.
  std::string LogText() {
    log_.Flush();
    std::string text(static_cast<std::size_t>(lseek(log_descriptor_, 0, SEEK_END)), '\0');
    REQUIRE(pread(log_descriptor_, text.data(), text.size(), 0) ==
            static_cast<ssize_t>(text.size()));
    return text;
  }

  GatewayMetrics& metrics() { return metrics_; }
  EventLoop& loop() { return loop_; }
  Gateway& gateway() { return *gateway_; }

  Duration timeout = std::chrono::seconds(2);
  Duration latency_objective = std::chrono::milliseconds(400);
  CallerLimits limits;
  // Null for a configuration without customers.
  std::shared_ptr<const CustomerTable> customers;
  bool is_public = false;
  // Further routes to the same service, and whether each is public.
  std::map<std::string, bool> nested_prefixes;
  // Of the upstreams that are added from now on.
  Duration warm_up_left{};
  std::uint32_t priority = 0;
  ServiceSettings service_settings;

 private:
  EventLoop loop_;
  const int log_descriptor_;
  LineLog log_;
  GatewayMetrics metrics_;
  std::vector<std::unique_ptr<LoopServer>> servers_;
  std::vector<UpstreamRecord> upstreams_;
  std::unique_ptr<Gateway> gateway_;
};

inline bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
