#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/http/message_parser.h"

namespace primroseweir {
namespace {

struct Parsed {
  absl::Status status;
  bool complete = false;
  std::string body;
  std::size_t consumed = 0;
  std::string target;
};

// Feeds `text` in pieces of at most `piece` bytes.
Parsed Parse(const std::string& text, std::size_t piece = std::string::npos) {
  MessageParser parser(MessageParser::Kind::kRequest);
  Parsed result;
  while (result.consumed < text.size() && !parser.message_complete()) {
    const auto size = std::min(piece, text.size() - result.consumed);
    const auto consumed = parser.Feed(text.data() + result.consumed, size, &result.body);
    if (!consumed.ok()) {
      result.status = consumed.status();
      return result;
    }
    result.consumed += *consumed;
  }
  result.complete = parser.message_complete();
  result.target = parser.request()->target;
  return result;
}

absl::StatusCode CodeOf(const std::string& head) { return Parse(head + "\r\n\r\n").status.code(); }

// Guards against a request that cannot be read although it is well formed.
TEST_CASE("well-formed requests are read in pieces of any size") {
  const std::string text =
      "POST /ledger/b?x=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6;ext=1\r\n world\r\n0\r\nTrailer: t\r\n\r\nGET /next";
  for (std::size_t piece = 1; piece < text.size(); ++piece) {
    const auto parsed = Parse(text, piece);
    CHECK(parsed.status.ok());
    CHECK(parsed.complete);
    CHECK(parsed.body == "hello world");
    CHECK(parsed.target == "/ledger/b?x=1");
    CHECK(text.substr(parsed.consumed) == "GET /next");
  }
}

// Guards against request smuggling: input that two readers could frame differently.
TEST_CASE("ambiguous or malformed heads are refused") {
  const std::vector<std::string> heads = {
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3",
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4",
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3",
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3",
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -3",
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0x3",
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3 3",
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length:",
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999999",
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked",
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3",
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
      "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked",
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked",
      "POST /a HTTP/1.1\r\nHost: h\r\n Transfer-Encoding: chunked",
      "POST /a HTTP/1.1\r\nHost: h\r\nX: 1\r\n folded",
      "POST /a HTTP/1.1\r\nHost: h\r\nX: 1\nContent-Length: 3",
      "POST /a HTTP/1.1\r\nHost: h\r\nX: 1\rContent-Length: 3",
      "POST /a HTTP/1.1\r\nHost: h\r\nX\r\nContent-Length: 3",
      "POST /a HTTP/1.1\r\nHost: h\r\nX: a\x01z",
      "POST /a HTTP/1.1\r\nHost: h\r\nHost: i",
      "POST /a HTTP/1.1\r\nX: 1",
      "POST /a HTTP/2.0\r\nHost: h",
      "POST /a HTTP/1.2\r\nHost: h",
      "POST a HTTP/1.1\r\nHost: h",
      "POST http://h/a HTTP/1.1\r\nHost: h",
      "CONNECT h:80 HTTP/1.1\r\nHost: h",
      "BREW /a HTTP/1.1\r\nHost: h",
      "GET /a\r\nHost: h",
  };
  for (const auto& head : heads) {
    INFO(head);
    CHECK(CodeOf(head) == absl::StatusCode::kInvalidArgument);
  }
}

// Guards against a body whose coding this reader doesn't know being taken for another one.
TEST_CASE("unknown transfer codings are told apart from faults") {
  for (const std::string coding : {"gzip", "gzip, chunked", "chunked, gzip", "xchunked",
                                   "\"chunked\"", "chunked, chunked", "identity"}) {
    INFO(coding);
    CHECK(CodeOf("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding) ==
          absl::StatusCode::kUnimplemented);
  }
}

// Guards against unbounded memory for a head.
TEST_CASE("heads above the limits are refused") {
  const std::string start = "GET /a HTTP/1.1\r\nHost: h\r\n";
  CHECK(CodeOf(start + "X: " + std::string(17'000, 'x')) == absl::StatusCode::kOutOfRange);
  std::string fields = start;
  for (int i = 0; i < 101; ++i) {
    fields += "X: 1\r\n";
  }
  CHECK(Parse(fields + "\r\n").status.code() == absl::StatusCode::kOutOfRange);
}

// Guards against chunk framing that ends a body elsewhere than the sender meant.
TEST_CASE("malformed chunks are refused") {
  const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string body :
       {"x\r\n", "-1\r\n", "5\r\nhelloX", "5\nhello\r\n", " 5\r\nhello\r\n",
        "fffffffffffffffff\r\n", "5\r\nhello\n0\r\n\r\n", "\r\n", "5\rXhello\r\n"}) {
    INFO(body);
    CHECK(Parse(head + body).status.code() == absl::StatusCode::kInvalidArgument);
  }
}

// Guards against an upstream's answer that is cut short and taken for a whole one.
TEST_CASE("answers that end early are faults") {
  MessageParser parser(MessageParser::Kind::kResponse);
  std::string body;
  const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel";
  REQUIRE(parser.Feed(text.data(), text.size(), &body).ok());
  CHECK_FALSE(parser.FeedEnd().ok());
  parser.Reset();
  const std::string open_ended = "HTTP/1.1 200 OK\r\n\r\nhel";
  REQUIRE(parser.Feed(open_ended.data(), open_ended.size(), &body).ok());
  CHECK(parser.FeedEnd().ok());
  CHECK(parser.message_complete());
}

// ---- fuzzing ----

std::string RandomRequest(Random* random) {
  std::string head = "POST /service/x HTTP/1.1\r\nHost: h\r\n";
  std::string body;
  if (random->Below(2) == 0) {
    body = std::string(random->Below(40), 'b');
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  } else {
    head += "Transfer-Encoding: chunked\r\n";
    for (auto left = random->Below(4); left > 0; --left) {
      body += "3\r\nabc\r\n";
    }
    body += "0\r\n\r\n";
  }
  return head + "\r\n" + body;
}

std::string Mutate(std::string text, Random* random) {
  static const std::string kInteresting = std::string("\r\n :,\t;0159afz\0-+", 18);
  for (auto edits = random->Below(4); edits > 0 && !text.empty(); --edits) {
    const auto position = random->Below(text.size());
    const char c = kInteresting[random->Below(kInteresting.size())];
    switch (random->Below(3)) {
      case 0:
        text[position] = c;
        break;
      case 1:
        text.insert(position, 1, c);
        break;
      default:
        text.erase(position, 1);
    }
  }
  return text;
}

// Guards against a verdict or a body that depends on how the network cuts the input, and against
// crashes on arbitrary input.
TEST_CASE("mutated requests are read the same whole and in pieces") {
  for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
    Random random(seed);
    const auto text = Mutate(RandomRequest(&random), &random);
    const auto whole = Parse(text);
    const auto pieces = Parse(text, 1 + random.Below(7));
    INFO("seed " << seed << ": " << text);
    REQUIRE(whole.status.ok() == pieces.status.ok());
    if (whole.status.ok()) {
      REQUIRE(whole.complete == pieces.complete);
      REQUIRE(whole.body == pieces.body);
      REQUIRE(whole.consumed == pieces.consumed);
    }
  }
}

// Guards against crashes on input that is not HTTP at all.
TEST_CASE("random bytes are refused or incomplete") {
  for (std::uint64_t seed = 1; seed <= 5'000; ++seed) {
    Random random(seed);
    std::string text(1 + random.Below(300), '\0');
    for (auto& c : text) {
      c = static_cast<char>(random.Below(256));
    }
    INFO("seed " << seed);
    REQUIRE_FALSE(Parse(text).complete);
  }
}

}  // namespace
}  // namespace primroseweir
