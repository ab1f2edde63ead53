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

std::string Pattern(std::uint64_t seed, std::size_t size) {
  Random random(seed);
  std::string text(size, ' ');
  for (auto& c : text) {
    c = static_cast<char>('a' + random.Below(26));
  }
  return text;
}

// Guards against answers that are mixed up between callers, in any order and size.
TEST_CASE("[whole-answers] many callers at once each get their own answer", "[whole-answers]") {
  FakeUpstream upstream([](ServerConnection* connection) {
    const auto seed = std::stoull(connection->request()->target.substr(1));
    const auto body = Pattern(seed, 1 + seed * 997 % 60'000);
    ResponseHead head;
    head.body = {seed % 2 == 0 ? BodyKind::kChunked : BodyKind::kLength, body.size()};
    connection->Begin(head);
    const auto half = body.size() / 2;
    if (connection->WriteBody(std::string_view(body).substr(0, half), Soon()).ok()) {
      connection->End(std::string_view(body).substr(half), Soon()).IgnoreError();
    }
  });
  CallFixture entry;
  entry.AddUpstream("board", upstream.address());
  entry.Start();
  std::vector<std::future<int>> callers;
  for (int caller = 0; caller < 16; ++caller) {
    callers.push_back(std::async(std::launch::async, [&entry, caller] {
      int wrong = 0;
      const auto connection = entry.Connect();
      for (int i = 0; i < 40; ++i) {
        const std::uint64_t seed = caller * 1000 + i;
        const auto reply = CallFixture::Send(
            connection.get(), CallFixture::Request("GET", "/board/" + std::to_string(seed)));
        wrong += reply.body == Pattern(seed, 1 + seed * 997 % 60'000) ? 0 : 1;
      }
      return wrong;
    }));
  }
  for (auto& caller : callers) {
    CHECK(caller.get() == 0);
  }
}

// Guards against a late answer that is taken for the answer of the next call on the connection.
TEST_CASE("[whole-answers] a late answer reaches no other caller", "[whole-answers]") {
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
  entry.retries_allowed = false;
  entry.Start();
  auto late = CallFixture::Request("GET", "/board/late");
  late.fields.Add("Primroseweir-Deadline-Ms", "50");
  CHECK(entry.Send(late).head.status == 504);
  released.set_value();
  for (int i = 0; i < 10; ++i) {
    CHECK(entry.Send(CallFixture::Request("GET", "/board/next")).body == "/next");
  }
}

// Guards against a connection that returns to the pool while an answer is still due on it.
TEST_CASE("[whole-answers] the answer of a cancelled call reaches no other caller",
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
    REQUIRE(connection->Send(CallFixture::Request("GET", "/board/late"), "", Soon()).ok());
    while (!received) {
      std::this_thread::yield();
    }
  }
  while (entry.server()->connections() > 0) {
    std::this_thread::yield();
  }
  auto next = std::async(std::launch::async, [&entry] {
    return entry.Send(CallFixture::Request("GET", "/board/next")).body;
  });
  // Ends at once unless the call waits behind the cancelled one.
  next.wait_for(std::chrono::milliseconds(500));
  released.set_value();
  CHECK(next.get() == "/next");
}

// Guards against a cut answer that the caller takes for a whole one.
TEST_CASE("[whole-answers] an answer that breaks is cut", "[whole-answers]") {
  for (const auto kind : {BodyKind::kChunked, BodyKind::kLength}) {
    FakeUpstream upstream([kind](ServerConnection* connection) {
      ResponseHead head;
      head.body = {kind, 1000};
      connection->Begin(head);
      connection->WriteBody("part", Soon()).IgnoreError();
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

// Serves `body` with ranges; the first request breaks after `break_after` bytes.
class Download {
 public:
  Download(std::string body, std::size_t break_after, std::vector<std::string> etags)
      : body_(std::move(body)), break_after_(break_after), etags_(std::move(etags)) {}

  void Serve(ServerConnection* connection) {
    const auto number = static_cast<std::size_t>(requests_.fetch_add(1));
    const auto range = connection->request()->fields.Get("Range");
    ResponseHead head;
    head.fields.Add("Accept-Ranges", "bytes");
    if (!etags_[number].empty()) {
      head.fields.Add("ETag", etags_[number]);
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
    if (number == 0) {
      connection->WriteBody(std::string_view(body_).substr(0, break_after_), Soon()).IgnoreError();
      connection->socket()->ShutdownWrite();
      return;
    }
    connection->End(std::string_view(body_).substr(start), Soon()).IgnoreError();
  }

  std::string if_range;

 private:
  const std::string body_;
  const std::size_t break_after_;
  const std::vector<std::string> etags_;
  std::atomic<int> requests_{0};
};

Reply DownloadThrough(Download* download) {
  const auto serve = [download](ServerConnection* connection) { download->Serve(connection); };
  FakeUpstream first(serve);
  FakeUpstream second(serve);
  CallFixture entry;
  entry.AddUpstream("board", first.address());
  entry.AddUpstream("board", second.address());
  entry.Start();
  return entry.Send(CallFixture::Request("GET", "/board/chart"));
}

// Guards against downloads that are lost with one upstream although another has the same bytes.
TEST_CASE("[whole-answers] a broken download is resumed at another upstream", "[whole-answers]") {
  const auto body = Pattern(1, 500'000);
  Download download(body, 200'000, {"\"v1\"", "\"v1\""});
  const auto reply = DownloadThrough(&download);
  CHECK(reply.status.ok());
  CHECK(reply.head.status == 200);
  CHECK((reply.body == body));
  CHECK(download.if_range == "\"v1\"");
}

// Guards against an answer that is spliced from two versions.
TEST_CASE("[whole-answers] a download of another version is never spliced", "[whole-answers]") {
  Download changed(Pattern(1, 500'000), 200'000, {"\"v1\"", "\"v2\""});
  CHECK(absl::IsUnavailable(DownloadThrough(&changed).status));
  Download untagged(Pattern(1, 500'000), 200'000, {"", ""});
  CHECK(absl::IsUnavailable(DownloadThrough(&untagged).status));
  Download weak(Pattern(1, 500'000), 200'000, {"W/\"v1\"", "W/\"v1\""});
  CHECK(absl::IsUnavailable(DownloadThrough(&weak).status));
}

// Guards against large bodies that are changed when they are streamed.
TEST_CASE("[whole-answers] large request bodies arrive whole", "[whole-answers]") {
  FakeUpstream upstream([](ServerConnection* connection) {
    const auto body = ReadRequestBody(connection);
    connection->Respond(ResponseHead(), body).IgnoreError();
  });
  CallFixture entry;
  entry.AddUpstream("board", upstream.address());
  entry.Start();
  for (const std::size_t size : {65'535, 65'536, 65'537, 3'000'000}) {
    const auto body = Pattern(size, size);
    auto head = CallFixture::Request("POST", "/board/x", body);
    CHECK((entry.Send(head, body).body == body));
    head.body = {BodyKind::kChunked, 0};
    CHECK((entry.Send(head, body).body == body));
  }
}

}  // namespace
}  // namespace primroseweir
