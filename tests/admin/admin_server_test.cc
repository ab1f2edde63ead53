#include "primroseweir/admin/admin_server.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "primroseweir/admin/metrics.h"
#include "primroseweir/base/error.h"
#include "primroseweir/base/event_log.h"
#include "support/loopback.h"

namespace primroseweir {
namespace {

struct PageResponse {
  unsigned status = 0;
  std::string body;
};

// An admin server with fixed providers.
struct Fixture {
  Fixture() {
    AdminServer::Providers providers;
    providers.status = [] { return nlohmann::json{{"instance", "entry-1"}}; };
    providers.explain = [](const ServiceName& service) -> absl::StatusOr<nlohmann::json> {
      if (service.value() == "ice-board") return nlohmann::json{{"service", "ice-board"}};
      return MakeError(absl::StatusCode::kNotFound, {"explain", ""}, "no such service");
    };
    providers.is_healthy = [this] { return is_healthy; };
    providers.events = &events;
    providers.metrics = &metrics;
    auto started = AdminServer::Start({RandomLoopback(), "secret"}, providers);
    REQUIRE(started.ok());
    server = std::move(*started);
  }

  PageResponse Get(const std::string& target, const std::string& token = "Bearer secret",
                   const std::string& method = "GET") const {
    cxxtools::http::Client client(server->address().ip, server->address().port);
    cxxtools::http::Request request(target.substr(0, target.find('?')));
    if (target.find('?') != std::string::npos) {
      request.qparams(target.substr(target.find('?') + 1));
    }
    request.method(method);
    if (!token.empty()) request.setHeader("Authorization", token.c_str());
    client.execute(request);
    client.readBody();
    return {client.header().httpReturnCode(), client.body()};
  }

  bool is_healthy = true;
  EventLog events{"entry-1"};
  Metrics metrics;
  std::unique_ptr<AdminServer> server;
};

// Guards against a process that reads the state of the fleet without the operator token.
TEST_CASE("every path requires the operator token") {
  const Fixture fixture;
  for (const char* path :
       {"/metrics", "/status", "/explain?service=ice-board", "/events", "/healthz", "/other"}) {
    for (const char* token : {"", "secret", "Bearer", "Bearer secre", "Bearer secret2",
                              "Bearer Secret", "Basic secret"}) {
      CHECK(fixture.Get(path, token).status == 401);
    }
  }
  CHECK(fixture.Get("/status").status == 200);
}

TEST_CASE("an empty operator token is refused at start") {
  CHECK(AdminServer::Start({RandomLoopback(), ""}, {}).status().code() ==
        absl::StatusCode::kInvalidArgument);
}

TEST_CASE("the admin port accepts only GET") {
  const Fixture fixture;
  CHECK(fixture.Get("/status", "Bearer secret", "POST").status == 405);
  CHECK(fixture.Get("/status", "Bearer secret", "DELETE").status == 405);
}

TEST_CASE("status, explanation and health are read from the providers") {
  Fixture fixture;
  CHECK(fixture.Get("/status").body == "{\"instance\":\"entry-1\"}\n");
  CHECK(fixture.Get("/explain?service=ice-board").body == "{\"service\":\"ice-board\"}\n");
  CHECK(fixture.Get("/explain?service=other").status == 404);
  CHECK(fixture.Get("/healthz").status == 200);
  fixture.is_healthy = false;
  CHECK(fixture.Get("/healthz").status == 503);
  CHECK(fixture.Get("/").status == 404);
}

TEST_CASE("the path /events lists the events after a given number in order") {
  Fixture fixture;
  fixture.events.Emit("first", {{"key", "text"}});
  fixture.events.Emit("second", {{"bytes", "\xff"}});
  const auto all = nlohmann::json::parse(fixture.Get("/events").body);
  CHECK(all.at("process") == "entry-1");
  REQUIRE(all.at("events").size() == 2);
  CHECK(all.at("events")[0].at("event") == "first");
  CHECK(all.at("events")[0].at("fields")[1] == nlohmann::json({"key", "text"}));
  CHECK(nlohmann::json::parse(fixture.Get("/events?after=1").body).at("events").size() == 1);
  CHECK(fixture.Get("/events?after=x").status == 400);
}

TEST_CASE("metrics are written as Prometheus text") {
  Fixture fixture;
  const ServiceMetrics* service = fixture.metrics.ForService(ServiceName("ice-board"));
  CHECK(service == fixture.metrics.ForService(ServiceName("ice-board")));
  service->executed->Increment();
  service->not_executed->Increment(2);
  service->retries->Increment();
  fixture.metrics.probes().Increment();
  fixture.metrics.peer_bytes_sent().Increment(1200);
  fixture.metrics.SetConfigurationRevision(Revision(17));
  fixture.metrics.SetUpstreams("warm", 4);
  fixture.metrics.ObserveAddedTime(std::chrono::microseconds(1'900));
  fixture.metrics.ObserveAddedTime(std::chrono::microseconds(1'901));
  const std::string text = fixture.Get("/metrics").body;
  for (const char* line :
       {"primroseweir_calls_total{outcome=\"ran\",service=\"ice-board\"} 1",
        "primroseweir_calls_total{outcome=\"not-run\",service=\"ice-board\"} 2",
        "primroseweir_retries_total{service=\"ice-board\"} 1", "primroseweir_probes_total 1",
        "primroseweir_peer_bytes_total{direction=\"sent\"} 1200",
        "primroseweir_configuration_revision 17", "primroseweir_upstreams{state=\"warm\"} 4",
        "primroseweir_added_seconds_bucket{le=\"0.0019\"} 1",
        "primroseweir_added_seconds_bucket{le=\"+Inf\"} 2", "primroseweir_added_seconds_count 2"}) {
    INFO(line);
    CHECK(text.find(line) != std::string::npos);
  }
}

// Guards against lost counts when several threads of the call path record values at the same time.
TEST_CASE("added times from several threads are all counted") {
  Metrics metrics;
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&metrics] {
      for (int i = 0; i < 10'000; ++i) metrics.ObserveAddedTime(std::chrono::microseconds(i));
    });
  }
  for (auto& thread : threads) thread.join();
  CHECK(metrics.Text().find("primroseweir_added_seconds_count 40000") != std::string::npos);
}

}  // namespace
}  // namespace primroseweir
