#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/http/message_parser.h"

namespace primroseweir {
namespace {

struct ParseResult {
  absl::Status status;
  bool complete = false;
  std::string body;
  std::size_t consumed = 0;
  std::string target;
};

// Parses `text`, fed in pieces of at most `piece` bytes.
ParseResult Parse(const std::string& text, std::size_t piece = std::string::npos) {
  MessageParser parser(MessageParser::Kind::kRequest);
  ParseResult result;
  while (result.consumed < text.size() && !parser.is_message_complete()) {
    const auto size = std::min(piece, text.size() - result.consumed);
    const auto consumed = parser.Feed(text.data() + result.consumed, size, &result.body);
    if (!consumed.ok()) {
      result.status = consumed.status();
      return result;
    }
    result.consumed += *consumed;
  }
  result.complete = parser.is_message_complete();
  result.target = parser.request()->target;
  return result;
}

absl::StatusCode StatusCodeOfHead(const std::string& head) {
  return Parse(head + "\r\n\r\n").status.code();
}

// Guards against a well-formed request that fails to parse when the network splits it.
TEST_CASE("well-formed requests are parsed in pieces of any size") {
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

// Guards against request smuggling: heads that two parsers could frame differently.
TEST_CASE("ambiguous or malformed heads are rejected as InvalidArgument") {
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
    CHECK(StatusCodeOfHead(head) == absl::StatusCode::kInvalidArgument);
  }
}

// Guards against a body in an unknown transfer coding being decoded as if it had another one.
TEST_CASE("unknown transfer codings are rejected as Unimplemented") {
  for (const std::string coding : {"gzip", "gzip, chunked", "chunked, gzip", "xchunked",
                                   "\"chunked\"", "chunked, chunked", "identity"}) {
    INFO(coding);
    CHECK(StatusCodeOfHead("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding) ==
          absl::StatusCode::kUnimplemented);
  }
}

// Guards against unbounded memory use for a head.
TEST_CASE("heads above the size or field limits are rejected as OutOfRange") {
  const std::string start = "GET /a HTTP/1.1\r\nHost: h\r\n";
  CHECK(StatusCodeOfHead(start + "X: " + std::string(17'000, 'x')) ==
        absl::StatusCode::kOutOfRange);
  std::string fields = start;
  for (int i = 0; i < 101; ++i) {
    fields += "X: 1\r\n";
  }
  CHECK(Parse(fields + "\r\n").status.code() == absl::StatusCode::kOutOfRange);
}

// Guards against malformed chunk framing that ends a body where the sender did not end it.
TEST_CASE("malformed chunks are rejected as InvalidArgument") {
  const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string body :
       {"x\r\n", "-1\r\n", "5\r\nhelloX", "5\nhello\r\n", " 5\r\nhello\r\n",
        "fffffffffffffffff\r\n", "5\r\nhello\n0\r\n\r\n", "\r\n", "5\rXhello\r\n"}) {
    INFO(body);
    CHECK(Parse(head + body).status.code() == absl::StatusCode::kInvalidArgument);
  }
}

// Guards against taking a truncated response of an upstream for a complete one.
TEST_CASE("only a response without a Content-Length may end with the connection") {
  MessageParser parser(MessageParser::Kind::kResponse);
  std::string body;
  const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel";
  REQUIRE(parser.Feed(text.data(), text.size(), &body).ok());
  CHECK_FALSE(parser.FeedEnd().ok());
  parser.Reset();
  const std::string until_close = "HTTP/1.1 200 OK\r\n\r\nhel";
  REQUIRE(parser.Feed(until_close.data(), until_close.size(), &body).ok());
  CHECK(parser.FeedEnd().ok());
  CHECK(parser.is_message_complete());
}

// Guards against a part of a head that counts as a whole response when the connection ends.
TEST_CASE("a response whose head is cut off at any byte is never complete") {
  for (const char* framing : {"", "Content-Length: 30\r\n", "Transfer-Encoding: chunked\r\n"}) {
    for (const char* interim : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
      const auto head =
          interim + ("HTTP/1.1 200 OK\r\nX-Id: a\r\n" + std::string(framing)) + "\r\n";
      for (std::size_t size = 0; size < head.size(); ++size) {
        MessageParser parser(MessageParser::Kind::kResponse);
        std::string body;
        auto fed = parser.Feed(head.data(), size, &body);
        REQUIRE(fed.ok());
        if (parser.is_message_complete()) {
          REQUIRE(parser.response()->status == 100);
          parser.Reset();
          fed = parser.Feed(head.data() + *fed, size - *fed, &body);
          REQUIRE(fed.ok());
        }
        INFO(head.substr(0, size));
        CHECK_FALSE(parser.is_head_complete());
        CHECK_FALSE(parser.FeedEnd().ok());
        CHECK_FALSE(parser.is_message_complete());
        CHECK(body.empty());
      }
    }
  }
}

// ---- fuzzing ----

std::string RandomRequest(Random* random) {
  std::string head = "POST /service/x HTTP/1.1\r\nHost: h\r\n";
  std::string body;
  if (random->UniformBelow(2) == 0) {
    body = std::string(random->UniformBelow(40), 'b');
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  } else {
    head += "Transfer-Encoding: chunked\r\n";
    for (auto chunks_left = random->UniformBelow(4); chunks_left > 0; --chunks_left) {
      body += "3\r\nabc\r\n";
    }
    body += "0\r\n\r\n";
  }
  return head + "\r\n" + body;
}

std::string Mutate(std::string text, Random* random) {
  static const std::string kSyntaxCharacters = std::string("\r\n :,\t;0159afz\0-+", 18);
  for (auto edits_left = random->UniformBelow(4); edits_left > 0 && !text.empty(); --edits_left) {
    const auto position = random->UniformBelow(text.size());
    const char c = kSyntaxCharacters[random->UniformBelow(kSyntaxCharacters.size())];
    switch (random->UniformBelow(3)) {
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

// Guards against a result that depends on how the network splits the input, and against crashes on
// arbitrary input.
TEST_CASE("mutated requests give the same parse result at once and in pieces") {
  for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
    Random random(seed);
    const auto text = Mutate(RandomRequest(&random), &random);
    const auto at_once = Parse(text);
    const auto in_pieces = Parse(text, 1 + random.UniformBelow(7));
    INFO("seed " << seed << ": " << text);
    REQUIRE(at_once.status.ok() == in_pieces.status.ok());
    if (at_once.status.ok()) {
      REQUIRE(at_once.complete == in_pieces.complete);
      REQUIRE(at_once.body == in_pieces.body);
      REQUIRE(at_once.consumed == in_pieces.consumed);
    }
  }
}

// Guards against crashes on input that is not HTTP.
TEST_CASE("random bytes never form a complete request") {
  for (std::uint64_t seed = 1; seed <= 5'000; ++seed) {
    Random random(seed);
    std::string text(1 + random.UniformBelow(300), '\0');
    for (auto& c : text) {
      c = static_cast<char>(random.UniformBelow(256));
    }
    INFO("seed " << seed);
    REQUIRE_FALSE(Parse(text).complete);
  }
}

}  // namespace
}  // namespace primroseweir
