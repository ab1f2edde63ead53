#include "caller/caller.h"

#include <catch2/catch.hpp>
#include <mutex>
#include <set>

#include "caller/load.h"
#include "support/network.h"
#include "support/scripted_server.h"
#include "wire/generated_content.h"

namespace primroseweir::testing {
namespace {

using standins::HttpHead;
using standins::Outcome;

std::string FormatMessage(int status, const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// An entry instance that responds to calls by a script and records their call keys and attempts.
struct FakeEntry {
  explicit FakeEntry(ScriptedServer::Script script)
      : server(network.Host(10, 8080),
               [this, script](const HttpHead& head, const std::string& body) {
                 if (head.target.rfind("/primroseweir/addresses", 0) == 0) return Addresses();
                 ++calls;
                 call_keys.insert(head.Value("Primroseweir-Call-Key"));
                 attempt_values += head.Value("Primroseweir-Attempt");
                 return script(head, body);
               }) {}

  std::string Addresses() {
    const std::string address = server.address().ToString();
    return FormatMessage(200, R"({"addresses":[")" + address +
                                  R"("],"valid_ms":30000,"revision":1,"call_key_prefix":"p)" +
                                  std::to_string(++prefix_count) +
                                  R"(","call_key_valid_ms":600000})");
  }

  Network network;
  int prefix_count = 0;
  std::atomic<int> calls{0};
  std::set<std::string> call_keys;
  std::string attempt_values;
  ScriptedServer server;
};

// Guards against a caller that accepts the response to another request.
TEST_CASE("caller reports a response to another request as incorrect") {
  FakeEntry entry([](const HttpHead& head, const std::string&) {
    const std::string nonce = head.target == "/s/read/c-0" ? "c-0" : "another";
    return FormatMessage(200, "upstream=u target=/read/" + nonce + " nonce=" + nonce + "\n");
  });
  standins::AddressCache address_cache({entry.server.address()});
  standins::Caller caller("c", &address_cache);
  CHECK(caller.Read("s").outcome == Outcome::kCorrect);
  CHECK(caller.Read("s").outcome == Outcome::kWrong);
}

// Guards against a caller that books twice because it retries an unknown outcome under a new key.
TEST_CASE("a booking with unknown outcome is retried only under its call key") {
  FakeEntry entry([&](const HttpHead& head, const std::string&) -> std::string {
    if (head.Value("Primroseweir-Attempt") == "1") return "";
    return FormatMessage(502, "{}", "Primroseweir-Outcome: unknown\r\n");
  });
  standins::AddressCache address_cache({entry.server.address()});
  standins::Caller caller("c", &address_cache);
  CHECK(caller.Book("s", "b").outcome == Outcome::kUnknown);
  CHECK(entry.call_keys.size() == 1);
  CHECK(entry.attempt_values == "122222");
}

TEST_CASE("a booking that was not executed is sent under a new call key") {
  FakeEntry entry([&](const HttpHead& head, const std::string&) {
    if (head.Value("Primroseweir-Call-Key").rfind("p1.", 0) == 0) {
      return FormatMessage(503, "{}", "Primroseweir-Outcome: not-run\r\n");
    }
    return FormatMessage(200, "booking=b execution=1 upstream=u\n");
  });
  standins::AddressCache address_cache({entry.server.address()});
  standins::Caller caller("c", &address_cache);
  CHECK(caller.Book("s", "b").outcome == Outcome::kCorrect);
  CHECK(entry.call_keys.size() == 2);
}

// Guards against a caller that accepts truncated downloads or downloads of mixed versions.
TEST_CASE("caller checks every byte of a download") {
  const std::string correct_body = standins::GenerateContent("f", 3, 0, 5000);
  std::string mixed_body = correct_body;
  mixed_body.replace(4000, 1000, standins::GenerateContent("f", 4, 4000, 1000));
  FakeEntry entry([&](const HttpHead& head, const std::string&) {
    const std::string etag = "ETag: \"3\"\r\n";
    if (head.target.find("size=5000") != std::string::npos)
      return FormatMessage(200, correct_body, etag);
    if (head.target.find("size=5001") != std::string::npos)
      return FormatMessage(200, mixed_body, etag);
    return FormatMessage(200, correct_body, etag).substr(0, 3000);
  });
  standins::AddressCache address_cache({entry.server.address()});
  standins::Caller caller("c", &address_cache);
  CHECK(caller.Download("s", "f", 5000, 0).outcome == Outcome::kCorrect);
  CHECK(caller.Download("s", "f", 5001, 0).outcome == Outcome::kWrong);
  CHECK(caller.Download("s", "f", 5002, 0).outcome == Outcome::kTruncated);
}

TEST_CASE("load generator sends calls at the configured rate and reports percentiles") {
  FakeEntry entry([](const HttpHead& head, const std::string&) {
    const std::string nonce = head.Value("X-Nonce");
    return FormatMessage(200, "target=/read/" + nonce + " nonce=" + nonce + "\n");
  });
  standins::LoadPlan plan;
  plan.addresses = {entry.server.address()};
  plan.read_service = "s";
  plan.rate = 100;
  plan.concurrency = 2;
  plan.duration = std::chrono::milliseconds(500);
  const std::atomic<bool> stop{false};
  const auto result = standins::RunLoad(plan, stop);
  const auto& reads = result.at("read");
  CHECK(reads.Count() == 50);
  CHECK(reads.Of(Outcome::kCorrect) == 50);
  CHECK(reads.Percentile(0.5) <= reads.Percentile(0.99));
  CHECK(standins::FormatKind("read", reads).find("kind=read count=50 right=50 not_run=0") == 0);
}

}  // namespace
}  // namespace primroseweir::testing
