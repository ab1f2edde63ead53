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

using standins::CallOutcome;
using standins::HttpHead;

std::string Whole(int status, const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// An entry instance that answers calls by a script and remembers their keys.
struct FakeEntry {
  explicit FakeEntry(ScriptedServer::Script script)
      : server(network.Host(10, 8080),
               [this, script](const HttpHead& head, const std::string& body) {
                 if (head.target.rfind("/primroseweir/addresses", 0) == 0) return Addresses();
                 ++calls;
                 keys.insert(head.Value("Primroseweir-Call-Key"));
                 attempts += head.Value("Primroseweir-Attempt");
                 return script(head, body);
               }) {}

  std::string Addresses() {
    const std::string own = server.address().ToString();
    return Whole(200, R"({"addresses":[")" + own +
                          R"("],"valid_ms":30000,"revision":1,"call_key_prefix":"p)" +
                          std::to_string(++prefixes) + R"(","call_key_valid_ms":600000})");
  }

  Network network;
  int prefixes = 0;
  std::atomic<int> calls{0};
  std::set<std::string> keys;
  std::string attempts;
  ScriptedServer server;
};

// Guards against a caller that takes any answer for its own.
TEST_CASE("caller notices an answer to another request") {
  FakeEntry entry([](const HttpHead& head, const std::string&) {
    const std::string nonce = head.target == "/s/read/c-0" ? "c-0" : "another";
    return Whole(200, "upstream=u target=/read/" + nonce + " nonce=" + nonce + "\n");
  });
  standins::AddressCache book({entry.server.address()});
  standins::Caller caller("c", &book);
  CHECK(caller.Read("s").end == CallOutcome::kCorrect);
  CHECK(caller.Read("s").end == CallOutcome::kIncorrect);
}

// Guards against a caller that books twice because it takes a new key for an unknown outcome.
TEST_CASE("a booking of unknown outcome is repeated only under its key") {
  FakeEntry entry([&](const HttpHead& head, const std::string&) -> std::string {
    if (head.Value("Primroseweir-Attempt") == "1") return "";
    return Whole(502, "{}", "Primroseweir-Outcome: unknown\r\n");
  });
  standins::AddressCache book({entry.server.address()});
  standins::Caller caller("c", &book);
  CHECK(caller.Book("s", "b").end == CallOutcome::kUnknown);
  CHECK(entry.keys.size() == 1);
  CHECK(entry.attempts == "122222");
}

TEST_CASE("a booking that did not run is sent under a new key") {
  FakeEntry entry([&](const HttpHead& head, const std::string&) {
    if (head.Value("Primroseweir-Call-Key").rfind("p1.", 0) == 0) {
      return Whole(503, "{}", "Primroseweir-Outcome: not-run\r\n");
    }
    return Whole(200, "booking=b execution=1 upstream=u\n");
  });
  standins::AddressCache book({entry.server.address()});
  standins::Caller caller("c", &book);
  CHECK(caller.Book("s", "b").end == CallOutcome::kCorrect);
  CHECK(entry.keys.size() == 2);
}

// Guards against a caller that misses cut or mixed downloads.
TEST_CASE("caller checks every byte of a download") {
  const std::string right = standins::GenerateContent("f", 3, 0, 5000);
  std::string mixed = right;
  mixed.replace(4000, 1000, standins::GenerateContent("f", 4, 4000, 1000));
  FakeEntry entry([&](const HttpHead& head, const std::string&) {
    const std::string etag = "ETag: \"3\"\r\n";
    if (head.target.find("size=5000") != std::string::npos) return Whole(200, right, etag);
    if (head.target.find("size=5001") != std::string::npos) return Whole(200, mixed, etag);
    return Whole(200, right, etag).substr(0, 3000);
  });
  standins::AddressCache book({entry.server.address()});
  standins::Caller caller("c", &book);
  CHECK(caller.Download("s", "f", 5000, 0).end == CallOutcome::kCorrect);
  CHECK(caller.Download("s", "f", 5001, 0).end == CallOutcome::kIncorrect);
  CHECK(caller.Download("s", "f", 5002, 0).end == CallOutcome::kTruncated);
}

TEST_CASE("load sends at the given rate and reports percentiles") {
  FakeEntry entry([](const HttpHead& head, const std::string&) {
    const std::string nonce = head.Value("X-Nonce");
    return Whole(200, "target=/read/" + nonce + " nonce=" + nonce + "\n");
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
  CHECK(reads.Of(CallOutcome::kCorrect) == 50);
  CHECK(reads.Percentile(0.5) <= reads.Percentile(0.99));
  CHECK(standins::FormatKind("read", reads).find("kind=read count=50 right=50 not_run=0") == 0);
}

}  // namespace
}  // namespace primroseweir::testing
