#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "filters/call_fixture.h"
#include "primroseweir/base/random.h"

namespace primroseweir {
namespace {

std::string RandomText(std::uint64_t seed, std::size_t size) {
  Random random(seed);
  std::string text(size, ' ');
  for (auto& c : text) {
    c = static_cast<char>('a' + random.UniformBelow(26));
  }
  return text;
}

// Guards against responses of different sizes and framings that reach the wrong concurrent caller.
TEST_CASE("[whole-answers] concurrent callers each get the response to their own request",
          "[whole-answers]") {
  FakeUpstream upstream([](ServerConnection* connection) {
    const auto seed = std::stoull(connection->request()->target.substr(1));
    const auto body = RandomText(seed, 1 + seed * 997 % 60'000);
    ResponseHead head;
    head.body = {seed % 2 == 0 ? BodyKind::kChunked : BodyKind::kLength, body.size()};
    connection->Begin(head);
    const auto half = body.size() / 2;
    if (connection->WriteBody(std::string_view(body).substr(0, half), TestDeadline()).ok()) {
      connection->End(std::string_view(body).substr(half), TestDeadline()).IgnoreError();
    }
  });
  CallFixture entry;
  entry.AddUpstream("board", upstream.address());
  entry.Start();
  std::vector<std::future<int>> callers;
  for (int caller = 0; caller < 16; ++caller) {
    callers.push_back(std::async(std::launch::async, [&entry, caller] {
      int mismatches = 0;
      const auto connection = entry.Connect();
      for (int i = 0; i < 40; ++i) {
        const std::uint64_t seed = caller * 1000 + i;
        const auto reply = CallFixture::Send(
            connection.get(), CallFixture::Request("GET", "/board/" + std::to_string(seed)));
        mismatches += reply.body == RandomText(seed, 1 + seed * 997 % 60'000) ? 0 : 1;
      }
      return mismatches;
    }));
  }
  for (auto& caller : callers) {
    CHECK(caller.get() == 0);
  }
}

// Guards against a late response that is taken for the response to the next call on the connection.
TEST_CASE("[whole-answers] a late response reaches no other caller", "[whole-answers]") {
  std::promise<void> released;
  auto release = released.get_future().share();
  FakeUpstream upstream([&](ServerConnection* connection) {
    const auto target = connection->request()->target;
    if (target == "/late") {
      release.wait();
    }
    connection->Respond(ResponseHead(), target).IgnoreError();
  });
  CallFixture entry;
  entry.AddUpstream("board", upstream.address());
  entry.has_retry_budget = false;
  entry.Start();
  auto late = CallFixture::Request("GET", "/board/late");
  late.fields.Add("Primroseweir-Deadline-Ms", "50");
  CHECK(entry.Send(late).head.status == 504);
  released.set_value();
  for (int i = 0; i < 10; ++i) {
    CHECK(entry.Send(CallFixture::Request("GET", "/board/next")).body == "/next");
  }
}

// Guards against a connection that returns to the pool while a response is still pending on it.
TEST_CASE("[whole-answers] the response of a cancelled call reaches no other caller",
          "[whole-answers]") {
  std::promise<void> released;
  auto release = released.get_future().share();
  std::atomic<bool> received{false};
  FakeUpstream upstream([&](ServerConnection* connection) {
    const auto target = connection->request()->target;
    if (target == "/late") {
      received = true;
      release.wait();
    }
    connection->Respond(ResponseHead(), target).IgnoreError();
  });
  CallFixture entry;
  entry.AddUpstream("board", upstream.address());
  entry.Start();
  {
    const auto connection = entry.Connect();
    REQUIRE(connection->Send(CallFixture::Request("GET", "/board/late"), "", TestDeadline()).ok());
    while (!received) {
      std::this_thread::yield();
    }
  }
  while (entry.server()->connection_count() > 0) {
    std::this_thread::yield();
  }
  auto next = std::async(std::launch::async, [&entry] {
    return entry.Send(CallFixture::Request("GET", "/board/next")).body;
  });
  // Completes at once unless the call waits behind the cancelled one.
  next.wait_for(std::chrono::milliseconds(500));
  released.set_value();
  CHECK(next.get() == "/next");
}

// Guards against a truncated response that the caller takes for a complete one.
TEST_CASE("[whole-answers] a response that breaks off is aborted at the caller",
          "[whole-answers]") {
  for (const auto kind : {BodyKind::kChunked, BodyKind::kLength}) {
    FakeUpstream upstream([kind](ServerConnection* connection) {
      ResponseHead head;
      head.body = {kind, 1000};
      connection->Begin(head);
      connection->WriteBody("part", TestDeadline()).IgnoreError();
      connection->Abort();
    });
    CallFixture entry;
    entry.AddUpstream("board", upstream.address());
    entry.Start();
    const auto reply = entry.Send(CallFixture::Request("GET", "/board/x"));
    CHECK(absl::IsUnavailable(reply.status));
  }
}

// ---- downloads ----

// Serves `body` and byte ranges of it; the response to the first request is interrupted after
// `interrupt_after` bytes. `etags` holds the entity tag of each response in turn, empty for none.
class InterruptedDownload {
 public:
  InterruptedDownload(std::string body, std::size_t interrupt_after, std::vector<std::string> etags)
      : body_(std::move(body)), interrupt_after_(interrupt_after), etags_(std::move(etags)) {}

  void Serve(ServerConnection* connection) {
    const auto request_index = static_cast<std::size_t>(requests_.fetch_add(1));
    const auto range = connection->request()->fields.Get("Range");
    ResponseHead head;
    head.fields.Add("Accept-Ranges", "bytes");
    if (!etags_[request_index].empty()) {
      head.fields.Add("ETag", etags_[request_index]);
    }
    std::size_t start = 0;
    if (!range.empty()) {
      start = std::stoul(range.substr(6));
      if_range = connection->request()->fields.Get("If-Range");
      head.status = 206;
      head.fields.Add("Content-Range", "bytes " + std::to_string(start) + "-" +
                                           std::to_string(body_.size() - 1) + "/" +
                                           std::to_string(body_.size()));
    }
    head.body = {BodyKind::kLength, body_.size() - start};
    connection->Begin(head);
    if (request_index == 0) {
      connection->WriteBody(std::string_view(body_).substr(0, interrupt_after_), TestDeadline())
          .IgnoreError();
      connection->socket()->ShutdownWrite();
      return;
    }
    connection->End(std::string_view(body_).substr(start), TestDeadline()).IgnoreError();
  }

  std::string if_range;

 private:
  const std::string body_;
  const std::size_t interrupt_after_;
  const std::vector<std::string> etags_;
  std::atomic<int> requests_{0};
};

Reply FetchThroughEntry(InterruptedDownload* download) {
  const auto serve = [download](ServerConnection* connection) { download->Serve(connection); };
  FakeUpstream first(serve);
  FakeUpstream second(serve);
  CallFixture entry;
  entry.AddUpstream("board", first.address());
  entry.AddUpstream("board", second.address());
  entry.Start();
  return entry.Send(CallFixture::Request("GET", "/board/chart"));
}

// Guards against a download that fails with its upstream although another has the same bytes.
TEST_CASE("[whole-answers] an interrupted download is resumed at another upstream",
          "[whole-answers]") {
  const auto body = RandomText(1, 500'000);
  InterruptedDownload download(body, 200'000, {"\"v1\"", "\"v1\""});
  const auto reply = FetchThroughEntry(&download);
  CHECK(reply.status.ok());
  CHECK(reply.head.status == 200);
  CHECK((reply.body == body));
  CHECK(download.if_range == "\"v1\"");
}

// Guards against a download that breaks off because its hedge, whose loser was cancelled, counted
// as the second execution: one of two downloads on a busy machine.
TEST_CASE("[whole-answers] a download that was hedged is resumed", "[whole-answers]") {
  const auto body = RandomText(1, 500'000);
  InterruptedDownload download(body, 200'000, {"\"v1\"", "\"v1\""});
  std::atomic<int> downloads{0};
  const auto serve = [&](ServerConnection* connection) {
    if (connection->request()->target != "/chart") {
      connection->Respond(ResponseHead(), "quick").IgnoreError();
    } else if (downloads.fetch_add(1) == 0) {
      connection->socket()->WaitReadable(TestDeadline()).IgnoreError();
    } else {
      download.Serve(connection);
    }
  };
  FakeUpstream first(serve);
  FakeUpstream second(serve);
  FakeUpstream third(serve);
  CallFixture entry;
  for (auto* upstream : {&first, &second, &third}) {
    entry.AddUpstream("board", upstream->address());
  }
  entry.Start();
  // Enough responses for a hedge delay.
  for (int i = 0; i < 200; ++i) {
    REQUIRE(entry.Send(CallFixture::Request("GET", "/board/x")).body == "quick");
  }
  entry.FillRetryBudgets();
  const auto reply = entry.Send(CallFixture::Request("GET", "/board/chart"));
  CHECK(reply.status.ok());
  CHECK((reply.body == body));
  CHECK(downloads == 3);
}

// Guards against a response that is combined from two versions of a resource.
TEST_CASE("[whole-answers] a download is not resumed without the same strong entity tag",
          "[whole-answers]") {
  InterruptedDownload changed(RandomText(1, 500'000), 200'000, {"\"v1\"", "\"v2\""});
  CHECK(absl::IsUnavailable(FetchThroughEntry(&changed).status));
  InterruptedDownload untagged(RandomText(1, 500'000), 200'000, {"", ""});
  CHECK(absl::IsUnavailable(FetchThroughEntry(&untagged).status));
  InterruptedDownload weak(RandomText(1, 500'000), 200'000, {"W/\"v1\"", "W/\"v1\""});
  CHECK(absl::IsUnavailable(FetchThroughEntry(&weak).status));
}

// Guards against large request bodies that are altered while being streamed.
TEST_CASE("[whole-answers] large request bodies arrive complete", "[whole-answers]") {
  FakeUpstream upstream([](ServerConnection* connection) {
    const auto body = ReadRequestBody(connection);
    connection->Respond(ResponseHead(), body).IgnoreError();
  });
  CallFixture entry;
  entry.AddUpstream("board", upstream.address());
  entry.Start();
  for (const std::size_t size : {65'535, 65'536, 65'537, 3'000'000}) {
    const auto body = RandomText(size, size);
    auto head = CallFixture::Request("POST", "/board/x", body);
    CHECK((entry.Send(head, body).body == body));
    head.body = {BodyKind::kChunked, 0};
    CHECK((entry.Send(head, body).body == body));
  }
}

}  // namespace
}  // namespace primroseweir
