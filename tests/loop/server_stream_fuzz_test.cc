// Random conversations of several connections with an HttpPort. Fixed seeds in CI;
// PRIMROSEWEIR_FUZZ_CASES sets another number of cases for runs by hand.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/http/message_parser.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/http_server_exchange.h"
#include "primroseweir/loop/request_sink.h"
#include "support/loop_server.h"

namespace primroseweir::testing {
namespace {

constexpr std::int64_t kAmpleBudget = std::int64_t{64} * 1024 * 1024;

// Responds "TARGET BYTES" to each request, at random times and in random pieces. Targets that begin
// with "/a" may be served ahead, and bodies to those that begin with "/s" are streamed.
class FuzzSink : public RequestSink {
 public:
  explicit FuzzSink(Random* random) : random_(random) {}

  bool MayServeAhead(const RequestHead& head) override { return head.target[1] == 'a'; }
  bool ShouldStreamBody(const RequestHead& head) override { return head.target[1] == 's'; }
  std::size_t MaxHeldBodyBytes(const RequestHead& /*head*/) override { return 2000; }

  void OnRequest(HttpServerExchange* exchange, RequestHead* head, std::string body) override {
    REQUIRE(delivered.insert(head->target).second);
    // An exchange has one request at a time.
    REQUIRE(calls_.count(exchange) == 0);
    auto& call = calls_[exchange];
    call.target = head->target;
    call.body_bytes = body.size();
    call.is_complete = !exchange->is_receiving_body();
    if (random_->UniformBelow(2) == 0) {
      Advance(exchange);
    }
  }
  void OnBodyPiece(HttpServerExchange* exchange, const std::string& piece, bool last) override {
    const auto found = calls_.find(exchange);
    if (found == calls_.end()) {
      return;
    }
    REQUIRE_FALSE(found->second.is_complete);
    found->second.body_bytes += piece.size();
    found->second.is_complete = last;
    if (!last && random_->UniformBelow(3) == 0) {
      exchange->PauseBody();
      found->second.is_paused = true;
    }
  }
  void OnBodyError(HttpServerExchange* exchange, int /*status*/) override {
    const auto found = calls_.find(exchange);
    REQUIRE(found != calls_.end());
    const bool has_begun = found->second.has_begun;
    calls_.erase(found);
    if (has_begun) {
      exchange->Abort();
      return;
    }
    // The status that the gateway sends if an upstream may have run a part.
    ResponseHead head;
    head.status = 504;
    exchange->Respond(std::move(head), "");
  }
  void OnCallerDisconnected(HttpServerExchange* exchange) override {
    // The response may be complete and have waited for its turn.
    calls_.erase(exchange);
  }

  // Lets one of the calls go on.
  void AdvanceOne() {
    if (!calls_.empty()) {
      auto call = calls_.begin();
      std::advance(call, random_->UniformBelow(calls_.size()));
      Advance(call->first);
    }
  }
  std::size_t calls() const { return calls_.size(); }

  std::set<std::string> delivered;

 private:
  struct Call {
    std::string target;
    std::size_t body_bytes = 0;
    bool is_complete = false;
    bool is_paused = false;
    bool has_begun = false;
  };

  void Advance(HttpServerExchange* exchange) {
    auto& call = calls_.at(exchange);
    if (call.is_paused) {
      call.is_paused = false;
      exchange->ResumeBody();
      return;
    }
    if (!call.is_complete) {
      return;
    }
    const auto text = call.target + " " + std::to_string(call.body_bytes);
    if (!call.has_begun && random_->UniformBelow(2) == 0) {
      calls_.erase(exchange);
      exchange->Respond(ResponseHead(), text);
    } else if (!call.has_begun) {
      call.has_begun = true;
      ResponseHead head;
      head.body.kind = BodyKind::kChunked;
      exchange->BeginResponse(head);
    } else {
      calls_.erase(exchange);
      exchange->WritePiece(text.substr(0, 3));
      exchange->WritePiece(text.substr(3));
      exchange->EndResponse();
    }
  }

  Random* const random_;
  std::unordered_map<HttpServerExchange*, Call> calls_;
};

struct Conversation {
  std::vector<std::string> targets;
  // The response to each request.
  std::vector<std::string> expected;
  std::string bytes;
  std::size_t sent = 0;
  bool has_closed = false;
  std::unique_ptr<LoopCaller> caller;
};

std::string BodyOf(Random* random, std::size_t size, std::string* head) {
  if (random->UniformBelow(2) == 0) {
    *head += "Content-Length: " + std::to_string(size) + "\r\n\r\n";
    return std::string(size, 'x');
  }
  *head += "Transfer-Encoding: chunked\r\n\r\n";
  std::string body;
  while (size > 0) {
    const auto chunk = std::min<std::size_t>(size, 1 + random->UniformBelow(3000));
    char length[24];
    std::snprintf(length, sizeof length, "%zx\r\n", chunk);
    body += length + std::string(chunk, 'x') + "\r\n";
    size -= chunk;
  }
  return body + (random->UniformBelow(3) == 0 ? "0\r\nA: b\r\n\r\n" : "0\r\n\r\n");
}

Conversation MakeConversation(Random* random, int number) {
  Conversation conversation;
  const auto requests = 1 + random->UniformBelow(24);
  for (std::uint64_t i = 0; i < requests; ++i) {
    const char kind = "aahs"[random->UniformBelow(4)];
    const auto target = std::string("/") + kind + std::to_string(number) + "-" + std::to_string(i);
    const std::size_t size =
        kind == 'a' ? 0 : random->UniformBelow(2) * random->UniformBelow(30000);
    std::string head = (kind == 'a' ? "GET " : "POST ") + target + " HTTP/1.1\r\nHost: h\r\n";
    for (auto fields = random->UniformBelow(4); fields > 0; --fields) {
      head += "X-Field: some value\r\n";
    }
    const auto body = kind == 'a' ? "" : BodyOf(random, size, &head);
    conversation.bytes += head + (kind == 'a' ? "\r\n" : body);
    conversation.targets.push_back(target);
    conversation.expected.push_back(target + " " + std::to_string(size));
  }
  return conversation;
}

// Checks that the responses belong to the requests in their order, and that no request that was
// refused as not run was delivered. Returns the number of responses with status 200.
std::size_t CheckResponses(const Conversation& conversation,
                           const std::set<std::string>& delivered) {
  const auto& received = conversation.caller->received();
  std::size_t position = 0;
  std::size_t count = 0;
  while (position < received.size()) {
    MessageParser parser(MessageParser::Kind::kResponse);
    std::string body;
    const auto used = parser.Feed(received.data() + position, received.size() - position, &body);
    REQUIRE(used.ok());
    if (!parser.is_message_complete()) {
      break;
    }
    position += *used;
    REQUIRE(count < conversation.targets.size());
    const int status = parser.response()->status;
    if (status == 200) {
      REQUIRE(body == conversation.expected[count]);
      ++count;
      continue;
    }
    REQUIRE((status == 503 || status == 504));
    REQUIRE((status == 504) == (delivered.count(conversation.targets[count]) == 1));
    // It ends the connection.
    REQUIRE(position == received.size());
    REQUIRE_FALSE(parser.response()->keep_alive);
  }
  return count;
}

void RunTurns(EventLoop* loop, std::uint64_t turns) {
  for (; turns > 0; --turns) {
    uv_run(loop->uv(), UV_RUN_NOWAIT);
  }
}

// Runs one case. In a calm one nothing runs short and all callers stay, so that each request gets
// its response.
void RunCase(std::uint64_t seed, bool is_calm) {
  INFO("seed " << seed << " calm " << is_calm);
  Random random(seed);
  EventLoop loop;
  FuzzSink sink(&random);
  HttpPort port(&loop, &sink, [] { return CallerLimits(); });
  REQUIRE(port.Listen(RandomLoopback()).ok());
  auto& connections = loop.connections();
  connections.memory().SetBudget(kAmpleBudget);
  std::vector<Conversation> conversations;
  for (int i = 0; i < 4; ++i) {
    conversations.push_back(MakeConversation(&random, i));
    conversations.back().caller = std::make_unique<LoopCaller>(&loop, port.address());
  }
  for (int step = 0; step < 1500; ++step) {
    auto& conversation = conversations[random.UniformBelow(conversations.size())];
    auto& caller = *conversation.caller;
    const auto left = conversation.bytes.size() - conversation.sent;
    const auto choice = random.UniformBelow(is_calm ? 70 : 100);
    if (choice < 40 && left > 0 && !caller.ended() && !conversation.has_closed) {
      const auto piece = std::min<std::size_t>(
          left, 1 + random.UniformBelow(random.UniformBelow(2) == 0 ? 12 : 20000));
      caller.Send(conversation.bytes.substr(conversation.sent, piece));
      conversation.sent += piece;
    } else if (choice < 70) {
      sink.AdvanceOne();
    } else if (choice < 76) {
      // As much as the connections hold, so that some of them have to pay.
      connections.memory().SetBudget(static_cast<std::int64_t>(random.UniformBelow(60000)));
    } else if (choice < 96) {
      connections.memory().SetBudget(kAmpleBudget);
    } else if (choice < 97) {
      caller.Close();
      conversation.has_closed = true;
    } else if (choice < 98) {
      static_cast<void>(connections.MakeRoom(EventLoop::Now()));
    } else {
      port.IsBusy(EventLoop::Now());
    }
    RunTurns(&loop, random.UniformBelow(3));
  }
  connections.memory().SetBudget(kAmpleBudget);
  if (is_calm) {
    for (auto& conversation : conversations) {
      conversation.caller->Send(conversation.bytes.substr(conversation.sent));
    }
  }
  for (int i = 0; i < 200 || (is_calm && i < 20000 && sink.calls() > 0); ++i) {
    sink.AdvanceOne();
    RunTurns(&loop, 2);
  }
  for (auto& conversation : conversations) {
    const auto count = CheckResponses(conversation, sink.delivered);
    if (is_calm) {
      REQUIRE(count == conversation.targets.size());
    }
    conversation.caller->Close();
  }
  RunUntil(&loop, [&] { return port.connection_count() == 0; });
  REQUIRE(port.connection_count() == 0);
  REQUIRE(sink.calls() == 0);
  REQUIRE(connections.memory().held_bytes() == 0);
  REQUIRE(port.buffered_bytes() == 0);
}

std::uint64_t FuzzCases() {
  const char* cases = std::getenv("PRIMROSEWEIR_FUZZ_CASES");
  return cases == nullptr ? 300 : std::strtoull(cases, nullptr, 10);
}

// Guards against responses that reach the wrong request, requests that are lost or run although
// they were refused, and bytes that stay in the account, for any timing of the parts.
TEST_CASE("random conversations get their responses in order", "[loop][fuzz]") {
  for (std::uint64_t seed = 1; seed <= FuzzCases(); ++seed) {
    RunCase(seed, true);
  }
}

TEST_CASE("random conversations with evictions and closes are never mixed up", "[loop][fuzz]") {
  for (std::uint64_t seed = 1; seed <= FuzzCases(); ++seed) {
    RunCase(1000000 + seed, false);
  }
}

// Guards against states of the parser or the connection that depend on where a packet ends.
TEST_CASE("messages that are split at any byte are served alike", "[loop][fuzz]") {
  const std::vector<std::string> expected = {"/a0 0", "/h1 5", "/s2 7", "/a3 0", "/h4 3"};
  const std::string bytes =
      "GET /a0 HTTP/1.1\r\nHost: h\r\n\r\n"
      "POST /h1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
      "POST /s2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n4;e=f\r\ndefg\r\n0\r\nA: b\r\n\r\n"
      "GET /a3 HTTP/1.1\r\nHost: h\r\n\r\n"
      "POST /h4 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: x\r\n\r\nxyz";
  for (std::size_t split = 1; split < bytes.size(); ++split) {
    INFO("split at " << split);
    Random random(split);
    EventLoop loop;
    FuzzSink sink(&random);
    HttpPort port(&loop, &sink, [] { return CallerLimits(); });
    REQUIRE(port.Listen(RandomLoopback()).ok());
    Conversation conversation;
    conversation.targets = {"/a0", "/h1", "/s2", "/a3", "/h4"};
    conversation.expected = expected;
    conversation.caller = std::make_unique<LoopCaller>(&loop, port.address());
    conversation.caller->Send(bytes.substr(0, split));
    RunTurns(&loop, 6);
    conversation.caller->Send(bytes.substr(split));
    for (int i = 0; i < 2000 && sink.delivered.size() + sink.calls() != expected.size(); ++i) {
      RunTurns(&loop, 1);
      sink.AdvanceOne();
    }
    for (int i = 0; i < 40; ++i) {
      sink.AdvanceOne();
      RunTurns(&loop, 1);
    }
    REQUIRE(CheckResponses(conversation, sink.delivered) == expected.size());
  }
}

}  // namespace
}  // namespace primroseweir::testing
