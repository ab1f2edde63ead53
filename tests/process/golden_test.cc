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

std::string Key(const standins::HttpResponse& addresses, const std::string& suffix) {
  const auto body = Site::Json::parse(addresses.body);
  return body["call_key_prefix"].get<std::string>() + "." + suffix;
}

std::string Booking(const std::string& key, int attempt, const std::string& body) {
  return "POST /booking-ledger/book/b1 HTTP/1.1\nHost: desk\nPrimroseweir-Call-Key: " + key +
         "\nPrimroseweir-Attempt: " + std::to_string(attempt) +
         "\nContent-Length: " + std::to_string(body.size()) + "\n\n" + body;
}

// Guards against any change of what callers see in a session of reads, bookings and downloads.
TEST_CASE("golden session of a caller") {
  Site site(SmallPlan("golden-caller"));
  Session session(&site);
  const auto addresses =
      session.Call(0, "GET /primroseweir/addresses?caller=desk HTTP/1.1\nHost: desk\n\n");
  const std::string key = Key(addresses, "k1");
  session.Name(key.substr(0, key.size() - 3), "PREFIX");
  session.Call(0, "GET /ice-board/read/a HTTP/1.1\nHost: desk\nX-Nonce: 7\n\n");
  session.Call(1, "HEAD /ice-board/read/a HTTP/1.1\nHost: desk\n\n");
  session.Call(0, Booking(key, 1, "two berths"));
  session.Note("the same booking again, at another instance");
  session.Call(2, Booking(key, 2, "two berths"));
  session.Note("the key reused for a different booking");
  session.Call(0, Booking(key, 2, "three berths"));
  session.Note("a key that nobody issued");
  session.Call(0, Booking("nobody.1.2.3.4.k", 1, "two berths"));
  session.Call(0, Booking("nobody.1.2.3.4.k", 2, "two berths"));
  session.Call(1,
               "GET /chart-distribution/download/c?size=40 HTTP/1.1\nHost: desk\n"
               "Range: bytes=10-19\n\n");
  session.Call(2,
               "POST /ice-board/echo HTTP/1.1\nHost: desk\nTransfer-Encoding: chunked\n\n"
               "4\nfour\n5\n five\n0\n\n");
  session.Call(0, "GET /no-such-service/x HTTP/1.1\nHost: desk\n\n");
  session.Note("all upstreams of ice-board need longer than the deadline");
  for (const std::string& id : site.UpstreamIds(kReads)) {
    site.Control(id, "/modes", R"({"straggle":100000})");
  }
  session.Call(0, "GET /ice-board/read/a HTTP/1.1\nHost: desk\nPrimroseweir-Deadline-Ms: 100\n\n");
  session.Note("all upstreams of chart-distribution refuse");
  for (const std::string& id : site.UpstreamIds(kDownloads)) {
    site.Control(id, "/modes", R"({"refuse":true})");
  }
  session.Call(1, "GET /chart-distribution/download/c?size=40 HTTP/1.1\nHost: desk\n\n");
  session.CheckAgainst("caller");
}

// Guards against examples in the documentation that the system does not answer like that.
TEST_CASE("each session in the documentation is part of a golden file") {
  std::string golden;
  for (const char* name : {"caller", "framing", "operator"}) {
    golden += ReadFile(std::string("tests/process/golden/") + name + ".txt");
  }
  const std::string page = ReadFile("docs/callers.md");
  const std::string open = "```session\n";
  int sessions = 0;
  for (std::size_t at = 0; (at = page.find(open, at)) != std::string::npos; ++sessions) {
    at += open.size();
    const std::string example = page.substr(at, page.find("```", at) - at);
    INFO(example);
    CHECK(golden.find(example) != std::string::npos);
  }
  CHECK(sessions > 0);
}

// Guards against framing that two parsers read differently.
TEST_CASE("golden session of malformed requests") {
  Site site(SmallPlan("golden-framing"));
  Session session(&site);
  MarkAll(&site);
  const std::string post = "POST /ice-board/echo HTTP/1.1\nHost: desk\n";
  session.Call(0, post + "Content-Length: 4\nTransfer-Encoding: chunked\n\n0\n\n");
  session.Call(0, post + "Content-Length: 4\nContent-Length: 5\n\nabcde");
  session.Call(0, post + "Content-Length: +4\n\nabcd");
  session.Call(0, post + "Transfer-Encoding: gzip, chunked\n\n0\n\n");
  session.Call(0, post + "Content-Length : 4\n\nabcd");
  session.Call(0, "GET /ice-board/read\n\n");
  session.Call(
      0, "GET /ice-board/read HTTP/1.1\nHost: desk\nX-Long: " + std::string(20000, 'x') + "\n\n");
  session.Name(std::string(20000, 'x'), "(20000 bytes)");
  session.CheckAgainst("framing");
  CHECK(site.Sum(kReads, "since_mark") == 0);
}

// Guards against a change of what callers and operators see while data centres leave and return.
TEST_CASE("golden session of data centres out and back") {
  Site site(SmallPlan("golden-operator"));
  Session session(&site);
  session.Name(site.operator_token(), "TOKEN");
  const std::string read = "GET /ice-board/read/a HTTP/1.1\nHost: desk\n\n";
  const auto declare = [&](const std::set<std::string>& out) {
    const auto revision = site.DeclareOut(out);
    CHECK(WaitForRevision(site, {0, 1, 2}, revision, kAFewSeconds));
    session.Note("declared out: " + std::to_string(out.size()) + " data centres");
  };
  declare({"krems"});
  session.Call(0, read);
  declare({"krems", "melk", "spitz"});
  session.Call(1, read);
  declare({});
  session.Call(2, read);
  session.CallAdmin(0, "GET /healthz HTTP/1.1\nHost: desk\nConnection: close\n\n");
  session.CallAdmin(0,
                    "GET /healthz HTTP/1.1\nHost: desk\nConnection: close\nAuthorization: Bearer " +
                        site.operator_token() + "\n\n");
  session.CheckAgainst("operator");
}

}  // namespace
}  // namespace primroseweir::testing
