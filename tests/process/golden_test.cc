#include <fstream>
#include <iterator>

#include "process_helpers.h"
#include "support/session.h"

namespace primroseweir::testing {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string MakeCallKey(const standins::HttpResponse& addresses, const std::string& suffix) {
  const auto body = Site::Json::parse(addresses.body);
  return body["call_key_prefix"].get<std::string>() + "." + suffix;
}

std::string MakeBookingRequest(const std::string& key, int attempt, const std::string& body) {
  return "POST /booking-ledger/book/b1 HTTP/1.1\nHost: desk\nPrimroseweir-Call-Key: " + key +
         "\nPrimroseweir-Attempt: " + std::to_string(attempt) +
         "\nContent-Length: " + std::to_string(body.size()) + "\n\n" + body;
}

// Guards against any change in the responses to a caller that reads, books and downloads.
TEST_CASE("responses to a caller match the golden file") {
  Site site(SmallPlan("golden-caller"));
  Session session(&site);
  const auto addresses =
      session.Call(0, "GET /primroseweir/addresses?caller=desk HTTP/1.1\nHost: desk\n\n");
  const std::string key = MakeCallKey(addresses, "k1");
  session.AddReplacement(key.substr(0, key.size() - 3), "PREFIX");
  session.Call(0, "GET /ice-board/read/a HTTP/1.1\nHost: desk\nX-Nonce: 7\n\n");
  session.Call(1, "HEAD /ice-board/read/a HTTP/1.1\nHost: desk\n\n");
  session.Call(0, MakeBookingRequest(key, 1, "two berths"));
  session.AddNote("the same booking again, at another instance");
  session.Call(2, MakeBookingRequest(key, 2, "two berths"));
  session.AddNote("the key reused for a different booking");
  session.Call(0, MakeBookingRequest(key, 2, "three berths"));
  session.AddNote("a key that nobody issued");
  session.Call(0, MakeBookingRequest("nobody.1.2.3.4.k", 1, "two berths"));
  session.Call(0, MakeBookingRequest("nobody.1.2.3.4.k", 2, "two berths"));
  session.Call(1,
               "GET /chart-distribution/download/c?size=40 HTTP/1.1\nHost: desk\n"
               "Range: bytes=10-19\n\n");
  session.Call(2,
               "POST /ice-board/echo HTTP/1.1\nHost: desk\nTransfer-Encoding: chunked\n\n"
               "4\nfour\n5\n five\n0\n\n");
  session.Call(0, "GET /no-such-service/x HTTP/1.1\nHost: desk\n\n");
  session.AddNote("all upstreams of ice-board need longer than the deadline");
  for (const std::string& id : site.UpstreamIds(kReadService)) {
    site.Control(id, "/modes", R"({"straggle":100000})");
  }
  session.Call(0, "GET /ice-board/read/a HTTP/1.1\nHost: desk\nPrimroseweir-Deadline-Ms: 100\n\n");
  session.AddNote("all upstreams of chart-distribution refuse");
  for (const std::string& id : site.UpstreamIds(kDownloadService)) {
    site.Control(id, "/modes", R"({"refuse":true})");
  }
  session.Call(1, "GET /chart-distribution/download/c?size=40 HTTP/1.1\nHost: desk\n\n");
  session.CheckAgainstGolden("caller");
}

// Guards against documented examples that differ from the actual responses.
TEST_CASE("each session example in docs/callers.md is part of a golden file") {
  std::string golden;
  for (const char* name : {"caller", "framing", "operator"}) {
    golden += ReadFile(std::string("tests/process/golden/") + name + ".txt");
  }
  const std::string documentation = ReadFile("docs/callers.md");
  const std::string opening_fence = "```session\n";
  int sessions = 0;
  for (std::size_t position = 0;
       (position = documentation.find(opening_fence, position)) != std::string::npos; ++sessions) {
    position += opening_fence.size();
    const std::string example =
        documentation.substr(position, documentation.find("```", position) - position);
    INFO(example);
    CHECK(golden.find(example) != std::string::npos);
  }
  CHECK(sessions > 0);
}

// Guards against ambiguous message framing that two parsers may read differently: such requests
// must be rejected and reach no upstream.
TEST_CASE("responses to malformed requests match the golden file") {
  Site site(SmallPlan("golden-framing"));
  Session session(&site);
  MarkAllUpstreams(&site);
  const std::string post = "POST /ice-board/echo HTTP/1.1\nHost: desk\n";
  session.Call(0, post + "Content-Length: 4\nTransfer-Encoding: chunked\n\n0\n\n");
  session.Call(0, post + "Content-Length: 4\nContent-Length: 5\n\nabcde");
  session.Call(0, post + "Content-Length: +4\n\nabcd");
  session.Call(0, post + "Transfer-Encoding: gzip, chunked\n\n0\n\n");
  session.Call(0, post + "Content-Length : 4\n\nabcd");
  session.Call(0, "GET /ice-board/read\n\n");
  session.Call(
      0, "GET /ice-board/read HTTP/1.1\nHost: desk\nX-Long: " + std::string(20000, 'x') + "\n\n");
  session.AddReplacement(std::string(20000, 'x'), "(20000 bytes)");
  session.CheckAgainstGolden("framing");
  CHECK(site.SumCounter(kReadService, "since_mark") == 0);
}

// Guards against any change in the responses to callers and operators while data centres are
// declared out and return.
TEST_CASE("responses while data centres are out and return match the golden file") {
  Site site(SmallPlan("golden-operator"));
  Session session(&site);
  session.AddReplacement(site.operator_token(), "TOKEN");
  const std::string read = "GET /ice-board/read/a HTTP/1.1\nHost: desk\n\n";
  const auto declare_out = [&](const std::set<std::string>& out) {
    const auto revision = site.DeclareOut(out);
    CHECK(WaitForRevision(site, {0, 1, 2}, revision, kMaxReactionTime));
    session.AddNote("declared out: " + std::to_string(out.size()) + " data centres");
  };
  declare_out({"krems"});
  session.Call(0, read);
  declare_out({"krems", "melk", "spitz"});
  session.Call(1, read);
  declare_out({});
  session.Call(2, read);
  session.CallAdmin(0, "GET /healthz HTTP/1.1\nHost: desk\nConnection: close\n\n");
  session.CallAdmin(0,
                    "GET /healthz HTTP/1.1\nHost: desk\nConnection: close\nAuthorization: Bearer " +
                        site.operator_token() + "\n\n");
  session.CheckAgainstGolden("operator");
}

}  // namespace
}  // namespace primroseweir::testing
