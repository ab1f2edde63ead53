#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "primroseweir/base/error.h"
#include "support/child_process.h"
#include "support/network.h"
#include "support/site.h"
#include "wire/fetch.h"
#include "wire/generated_content.h"
#include "wire/http_reader.h"

namespace primroseweir::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A stand-in upstream that runs as a process.
class Standin {
 public:
  explicit Standin(Json settings) {
    settings["id"] = "u-1";
    settings["address"] = calls().ToString();
    settings["control_address"] = control().ToString();
    if (!settings.contains("cold")) settings["cold"] = false;
    const std::string path = Site::Binary("standin" + network_.prefix() + "json");
    std::ofstream(path) << settings;
    process_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{Site::Binary("standins/upstream/standin-upstream"), "-s", path},
        path + ".log");
    REQUIRE(process_->WaitForLog("event=listening", seconds(10)));
  }

  SocketAddress calls() const { return network_.Host(100, 7000); }
  SocketAddress control() const { return network_.Host(100, 7001); }
  ChildProcess& process() { return *process_; }

  standins::HttpResponse Send(const std::string& method, const std::string& target,
                              std::vector<standins::HeaderField> fields = {},
                              const std::string& body = "") {
    standins::HttpHead request;
    request.method = method;
    request.target = target;
    request.fields = std::move(fields);
    auto response = standins::Fetch(calls(), request, body, seconds(10));
    INFO(MessageOf(response.status()));
    REQUIRE(response.ok());
    return *response;
  }

  void Control(const std::string& target, const std::string& body) {
    standins::HttpHead request;
    request.method = "POST";
    request.target = target;
    REQUIRE(standins::Fetch(control(), request, body, seconds(5))->head.status == 200);
  }

  Json State(const std::string& target = "/state") {
    return Json::parse(standins::Get(control(), target, seconds(5))->body);
  }

  // Sends `count` calls concurrently; returns the number of responses with `status`.
  int SendConcurrently(int count, const std::string& target, int status) {
    std::atomic<int> matching{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < count; ++i) {
      threads.emplace_back([this, &matching, &target, status] {
        const auto response = standins::Get(calls(), target, seconds(30));
        if (response.ok() && response->head.status == status) ++matching;
      });
    }
    for (std::thread& thread : threads) thread.join();
    return matching;
  }

 private:
  Network network_;
  std::unique_ptr<ChildProcess> process_;
};

// Guards against a stand-in that executes more calls at a time than it has slots.
TEST_CASE("upstream limits running and waiting calls") {
  Standin standin(Json{{"slots", 2}, {"queue", 3}, {"service_ms", 300}, {"distribution", "fixed"}});
  CHECK(standin.SendConcurrently(9, "/read", 200) == 5);
  const Json state = standin.State();
  CHECK(state["max_running"] == 2);
  CHECK(state["refused"] == 4);
}

TEST_CASE("upstream reports a load of the configured age and its id") {
  Standin standin(Json{{"service_ms", 0}});
  standin.Control("/modes", R"({"report_lag_ms":60000})");
  const auto response = standin.Send("GET", "/read/a", {{"X-Nonce", "n"}});
  CHECK(response.body == "upstream=u-1 target=/read/a nonce=n\n");
  CHECK(response.head.Value("X-Load") == "in_flight=1");
}

// Guards against a cold stand-in that withstands full load: tests of warm-up limits would then pass
// without any limit.
TEST_CASE("a cold upstream collapses under full load and warms up by single calls") {
  Standin standin(Json{{"slots", 4}, {"cold", true}, {"service_ms", 5}, {"distribution", "fixed"}});
  CHECK(standin.SendConcurrently(6, "/read", 200) < 6);
  CHECK(standin.State()["cold_overruns"].get<int>() >= 1);
  CHECK(standin.State()["cold"] == true);
  for (int i = 0; i < 2; ++i) standin.Send("GET", "/read");
  CHECK(standin.State()["cold"] == false);
  CHECK(standin.SendConcurrently(4, "/read", 200) == 4);
  standin.Control("/cold", "");
  CHECK(standin.State()["cold"] == true);
}

TEST_CASE("upstream reports leaving, refuses calls and fails calls as configured") {
  Standin standin(Json{{"service_ms", 0}});
  standin.Control("/modes", R"({"leaving":true})");
  CHECK(standin.Send("GET", "/read").head.Value("X-Leaving") == "1");
  standin.Control("/modes", R"({"refuse":true})");
  const auto refused = standin.Send("GET", "/read");
  CHECK(refused.head.status == 503);
  CHECK(refused.head.Value("X-Refused") == "not-run");
  standin.Control("/modes", R"({"leaving":false,"refuse":false,"fail":1})");
  const auto failed = standin.Send("GET", "/read");
  CHECK(failed.head.status == 503);
  CHECK(failed.head.Value("X-Refused").empty());
  CHECK(standin.State()["executed"] == 2);
}

// Guards against a ledger that misses a repeated execution.
TEST_CASE("ledger counts each execution, also of a call whose response is lost") {
  Standin standin(Json{{"service_ms", 1}});
  standin.Send("POST", "/book/b1", {}, "x");
  CHECK(standin.Send("POST", "/book/b1", {}, "x").body.find("execution=2") != std::string::npos);
  standin.Control("/modes", R"({"lose_answer_count":1})");
  CHECK(!standins::Get(standin.calls(), "/book/b2", seconds(2)).ok());
  CHECK(standin.State("/ledger")["b1"]["executions"] == 2);
  CHECK(standin.State("/ledger")["b2"]["executions"] == 1);
}

// Guards against downloads whose pieces a caller can't distinguish, such as those of two versions.
TEST_CASE("downloads honour Range and If-Range and are reset at the configured byte") {
  Standin standin(Json{{"service_ms", 0}});
  const std::string target = "/download/chart?size=200000";
  const auto full = standin.Send("GET", target);
  CHECK(full.body == standins::GenerateContent("chart", 1, 0, 200000));
  CHECK(full.head.Value("ETag") == "\"1\"");
  const auto partial =
      standin.Send("GET", target, {{"Range", "bytes=13-99999"}, {"If-Range", "\"1\""}});
  CHECK(partial.head.status == 206);
  CHECK(partial.head.Value("Content-Range") == "bytes 13-99999/200000");
  CHECK(standins::IsGeneratedContent("chart", 1, 13, partial.body));
  CHECK(!standins::IsGeneratedContent("chart", 2, 13, partial.body));
  standin.Control("/modes", R"({"version":2,"cut_at":70000,"cut_count":1})");
  CHECK(!standins::Get(standin.calls(), target, seconds(2)).ok());
  const auto other_version =
      standin.Send("GET", target, {{"Range", "bytes=13-"}, {"If-Range", "\"1\""}});
  CHECK(other_version.head.status == 200);
  CHECK(other_version.body == standins::GenerateContent("chart", 2, 0, 200000));
}

TEST_CASE("open connections become unresponsive while new ones work") {
  Standin standin(Json{{"service_ms", 0}});
  const Instant deadline = MonotonicNow() + milliseconds(500);
  auto socket = standins::Socket::Connect(standin.calls(), deadline);
  REQUIRE(socket.ok());
  standins::HttpReader reader(&*socket, standins::HttpReader::Kind::kResponses);
  const std::string request = "GET /read HTTP/1.1\r\nHost: u\r\n\r\n";
  REQUIRE(socket->WriteAll(request, deadline).ok());
  REQUIRE(reader.ReadHead(deadline).ok());
  REQUIRE(reader.ReadBody(deadline).ok());
  const std::string direction = GENERATE("in", "out");
  standin.Control("/silence", direction);
  REQUIRE(socket->WriteAll(request, deadline).ok());
  CHECK(absl::IsDeadlineExceeded(reader.ReadHead(deadline).status()));
  CHECK(standin.Send("GET", "/read").head.status == 200);
  CHECK(standin.State()["executed"] == (direction == "in" ? 2 : 3));
}

TEST_CASE("upstream exits on a crash request and cancels the call of a caller that disconnects") {
  Standin standin(Json{{"service_ms", 60000}, {"distribution", "fixed"}});
  CHECK(absl::IsDeadlineExceeded(
      standins::Get(standin.calls(), "/read", milliseconds(100)).status()));
  CHECK(WaitUntil([&] { return standin.State()["cancelled"] == 1; }, seconds(5)));
  CHECK(!standins::Get(standin.calls(), "/crash", seconds(2)).ok());
  CHECK(standin.process().WaitForExit(seconds(5)) == 3);
}

TEST_CASE("upstream refuses unknown settings with exit code 2") {
  const std::string path = Site::Binary("bad-settings.json");
  std::ofstream(path) << R"({"id":"u","slotz":3})";
  ChildProcess process({Site::Binary("standins/upstream/standin-upstream"), "-s", path},
                       path + ".log");
  CHECK(process.WaitForExit(seconds(5)) == 2);
  CHECK(process.Log().find("slotz") != std::string::npos);
}

}  // namespace
}  // namespace primroseweir::testing
