#ifndef PRIMROSEWEIR_TESTS_FILTERS_CALL_FIXTURE_H_
#define PRIMROSEWEIR_TESTS_FILTERS_CALL_FIXTURE_H_

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/base/event_log.h"
#include "primroseweir/base/rcu_cell.h"
#include "primroseweir/configuration/configuration_snapshot.h"
#include "primroseweir/filters/body_filter.h"
#include "primroseweir/filters/connection_pool.h"
#include "primroseweir/filters/customer_filter.h"
#include "primroseweir/filters/dispatch_filter.h"
#include "primroseweir/filters/filter_chain.h"
#include "primroseweir/filters/request_id_filter.h"
#include "primroseweir/filters/route_filter.h"
#include "primroseweir/http/client_connection.h"
#include "primroseweir/http/http_server.h"
#include "primroseweir/http/server_connection.h"
#include "primroseweir/routing/router.h"
#include "primroseweir/routing/service_limits.h"
#include "support/loopback.h"

namespace primroseweir {

inline Instant TestDeadline() { return MonotonicNow() + std::chrono::seconds(20); }

// An upstream in this process. `serve` handles each request; `requests` counts them.
class FakeUpstream : public RequestHandler {
 public:
  using Serve = std::function<void(ServerConnection*)>;

  explicit FakeUpstream(Serve serve, const SocketAddress& address = RandomLoopback())
      : serve_(std::move(serve)), server_(OptionsOf(address), this) {
    REQUIRE(server_.Start().ok());
  }
  ~FakeUpstream() override {
    server_.StopAccepting();
    server_.WaitUntilIdle();
  }

  void Handle(ServerConnection* connection) override {
    requests.fetch_add(1);
    serve_(connection);
  }

  SocketAddress address() const { return server_.address(); }
  HttpServer* server() { return &server_; }

  std::atomic<int> requests{0};

 private:
  static HttpServer::Options OptionsOf(const SocketAddress& address) {
    HttpServer::Options options;
    options.address = address;
    options.limits.idle_timeout = std::chrono::seconds(5);
    return options;
  }

  Serve serve_;
  HttpServer server_;
};

// Returns the request's body, or the part of it that was read before an error.
inline std::string ReadRequestBody(ServerConnection* connection) {
  std::string body;
  while (true) {
    const auto piece = connection->ReadBody(TestDeadline());
    if (!piece.ok() || piece->empty()) {
      return body;
    }
    body.append(*piece);
  }
}

// Returns a handler that responds with status 200 and `text`.
inline FakeUpstream::Serve RespondWithText(const std::string& text) {
  return [text](ServerConnection* connection) {
    ReadRequestBody(connection);
    connection->Respond(ResponseHead(), text).IgnoreError();
  };
}

// Refuses the call and states that it was not executed.
inline void Refuse(ServerConnection* connection) {
  ReadRequestBody(connection);
  ResponseHead head;
  head.status = 503;
  head.fields.Add("X-Refused", "not-run");
  connection->Respond(head, "").IgnoreError();
}

// Reads the request and resets the connection.
inline void ReadAndReset(ServerConnection* connection) {
  ReadRequestBody(connection);
  connection->Abort();
}

struct Reply {
  absl::Status status;
  ResponseHead head;
  std::string body;
  std::string outcome() const { return head.fields.Get("Primroseweir-Outcome"); }
};

// Runs the filter chain of an entry instance in this process.
class CallFixture {
 public:
  explicit CallFixture(const ConnectionPool::Options& pool_options = ConnectionPool::Options())
      : events_("test"),
        router_(RouterOptions(), &events_),
        pool_(pool_options),
        services_(std::make_shared<const ServiceTable>()) {
    dispatch.router = &router_;
    dispatch.pool = &pool_;
    dispatch.services = &services_;
    AddService("board", ServiceCallKind::kIdempotent);
    AddService("ledger", ServiceCallKind::kNonIdempotent);
    AddService("footage", ServiceCallKind::kUploads);
  }

  ~CallFixture() { Stop(); }

  void AddService(const std::string& name, ServiceCallKind call_kind) {
    Service service;
    service.name = ServiceName(name);
    service.call_kind = call_kind;
    snapshot_.services.push_back(service);
  }

  void AddUpstream(const std::string& service, const SocketAddress& address,
                   std::uint32_t connections = 100) {
    UpstreamRecord record;
    record.id = UpstreamId("u" + std::to_string(snapshot_.upstreams.size()));
    record.service = ServiceName(service);
    record.data_centre = DataCentre("krems");
    record.address = address;
    record.slots = 64;
    record.connections = connections;
    snapshot_.upstreams.push_back(record);
  }

  // Publishes the configuration and starts the server.
  void Start() {
    Apply();
    if (has_retry_budget) {
      FillRetryBudgets();
    }
    std::vector<std::unique_ptr<Filter>> filters;
    filters.push_back(std::make_unique<RequestIdFilter>("entry-1"));
    for (auto& filter : outer_filters) {
      filters.push_back(std::move(filter));
    }
    filters.push_back(std::make_unique<RouteFilter>(&services_));
    filters.push_back(std::make_unique<CustomerFilter>(&services_));
    filters.push_back(std::make_unique<BodyFilter>());
    for (auto& filter : inner_filters) {
      filters.push_back(std::move(filter));
    }
    filters.push_back(std::make_unique<DispatchFilter>(dispatch));
    chain_ = std::make_unique<FilterChain>(std::move(filters), &events_);
    HttpServer::Options options;
    options.address = RandomLoopback();
    server_ = std::make_unique<HttpServer>(options, chain_.get());
    REQUIRE(server_->Start().ok());
  }

  void FillRetryBudgets() {
    for (const auto& service : snapshot_.services) {
      for (std::uint32_t i = 0; i < RetryBudget::kCapacityTenths; ++i) {
        router_.Limits(service.name)->retry_budget.RecordFirstAttempt();
      }
    }
  }

  void Apply() {
    services_.Store(std::make_shared<const ServiceTable>(snapshot_.services, snapshot_.customers));
    pool_.Apply(snapshot_);
    auto copy = std::make_shared<const ConfigurationSnapshot>(snapshot_);
    router_.Apply(copy, MonotonicNow());
  }

  void Stop() { server_.reset(); }

  std::unique_ptr<ClientConnection> Connect() const {
    auto connection = ClientConnection::Open(server_->address(), TestDeadline());
    REQUIRE(connection.ok());
    return std::move(*connection);
  }

  static RequestHead Request(const std::string& method, const std::string& target,
                             const std::string& body = "") {
    RequestHead head;
    head.method = method;
    head.target = target;
    head.fields.Add("Host", "test");
    if (!body.empty()) {
      head.body = {BodyKind::kLength, body.size()};
    }
    return head;
  }

  // Sends one request on a new connection and reads the response.
  Reply Send(const RequestHead& head, const std::string& body = "") const {
    const auto connection = Connect();
    return Send(connection.get(), head, body);
  }

  static Reply Send(ClientConnection* connection, const RequestHead& head,
                    const std::string& body = "") {
    Reply reply;
    reply.status = connection->Send(head, body, TestDeadline());
    if (!reply.status.ok()) {
      return reply;
    }
    const auto response = connection->ReadHead(TestDeadline());
    reply.status = response.status();
    if (reply.status.ok()) {
      reply.head = **response;
      ReadBody(connection, &reply);
    }
    return reply;
  }

  static void ReadBody(ClientConnection* connection, Reply* reply) {
    while (true) {
      const auto piece = connection->ReadBody(TestDeadline());
      reply->status = piece.status();
      if (!piece.ok() || piece->empty()) {
        return;
      }
      reply->body.append(*piece);
    }
  }

  HttpServer* server() { return server_.get(); }
  Router* router() { return &router_; }
  ConnectionPool* pool() { return &pool_; }
  EventLog* events() { return &events_; }
  ConfigurationSnapshot* snapshot() { return &snapshot_; }

  DispatchDependencies dispatch;
  // Filters placed between RequestIdFilter and RouteFilter, and between BodyFilter and
  // DispatchFilter.
  std::vector<std::unique_ptr<Filter>> outer_filters;
  std::vector<std::unique_ptr<Filter>> inner_filters;
  // Whether the retry budget, which also covers hedges, starts full.
  bool has_retry_budget = true;

 private:
  static Router::Options RouterOptions() {
    Router::Options options;
    options.data_centre = DataCentre("krems");
    return options;
  }

  EventLog events_;
  Router router_;
  ConnectionPool pool_;
  RcuCell<ServiceTable> services_;
  ConfigurationSnapshot snapshot_;
  std::unique_ptr<FilterChain> chain_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_TESTS_FILTERS_CALL_FIXTURE_H_
