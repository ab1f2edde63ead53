#include "primroseweir/keys/started_call_table.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include "primroseweir/base/random.h"

namespace primroseweir {
namespace {

using LookupResult = StartedCallTable::LookupResult;
using std::chrono::milliseconds;

StartedCallTable::Entry ExecutedEntry(const std::string& body) {
  auto response = std::make_shared<StoredResponse>();
  response->body = body;
  return {ExecutionOutcome::kExecuted, response};
}

Instant At(int ms) { return Instant(milliseconds(ms)); }

// ---- reference model ----

// Reference model of StartedCallTable with one shard, which searches a list.
class NaiveTable {
 public:
  NaiveTable(std::size_t max_bytes, std::size_t max_response_bytes)
      : max_bytes_(max_bytes), max_response_bytes_(max_response_bytes) {}

  LookupResult Begin(const std::string& key, std::uint64_t fingerprint, Instant expiry, Instant now,
                     StartedCallTable::Entry* entry) {
    calls_.remove_if([now](const Call& call) { return !call.running && call.expiry <= now; });
    if (expiry <= now) return LookupResult::kExpired;
    for (const Call& call : calls_) {
      if (call.key != key) continue;
      if (call.fingerprint != fingerprint) return LookupResult::kRequestMismatch;
      if (call.running) return LookupResult::kRunning;
      *entry = call.entry;
      return LookupResult::kEnded;
    }
    Call added{key, fingerprint, expiry, true, {}, 0};
    if (!MakeRoom(BytesOf(added))) return LookupResult::kFull;
    calls_.push_back(added);
    return LookupResult::kStart;
  }

  void Finish(const std::string& key, const StartedCallTable::Entry& entry) {
    for (auto call = calls_.begin(); call != calls_.end(); ++call) {
      if (call->key != key) continue;
      if (entry.outcome == ExecutionOutcome::kNotExecuted) {
        calls_.erase(call);
        return;
      }
      call->running = false;
      call->entry.outcome = entry.outcome;
      if (entry.response != nullptr && entry.response->Bytes() <= max_response_bytes_ &&
          MakeRoom(entry.response->Bytes())) {
        call->entry.response = entry.response;
        call->response_number = ++stored_responses_;
      }
      return;
    }
  }

  std::size_t UsedBytes() const {
    std::size_t used_bytes = 0;
    for (const Call& call : calls_) used_bytes += BytesOf(call);
    return used_bytes;
  }

 private:
  struct Call {
    std::string key;
    std::uint64_t fingerprint;
    Instant expiry;
    bool running;
    StartedCallTable::Entry entry;
    std::uint64_t response_number;
  };

  static std::size_t BytesOf(const Call& call) {
    const auto response = call.entry.response == nullptr ? 0 : call.entry.response->Bytes();
    return 2 * call.key.size() + StartedCallTable::kKeyOverheadBytes + response;
  }

  bool MakeRoom(std::size_t size) {
    while (UsedBytes() + size > max_bytes_) {
      Call* oldest = nullptr;
      for (Call& call : calls_) {
        if (call.entry.response == nullptr) continue;
        if (oldest == nullptr || call.response_number < oldest->response_number) oldest = &call;
      }
      if (oldest == nullptr) return false;
      oldest->entry.response = nullptr;
    }
    return true;
  }

  const std::size_t max_bytes_;
  const std::size_t max_response_bytes_;
  std::uint64_t stored_responses_ = 0;
  std::list<Call> calls_;
};

// Guards against indexes of the table that disagree with its rules, such as a key that is removed
// too early, so that its call is executed twice.
TEST_CASE("[at-most-once] the started-call table agrees with a model that searches a list",
          "[at-most-once]") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    Instant now = At(0);
    StartedCallTable::Options options;
    options.max_bytes = 3'000 + random.UniformBelow(3'000);
    options.max_response_bytes = 400;
    options.shards = 1;
    options.clock = [&now] { return now; };
    StartedCallTable table(options);
    NaiveTable naive(options.max_bytes, options.max_response_bytes);
    std::vector<std::string> running;
    for (int step = 0; step < 400; ++step) {
      INFO("seed " << seed << " step " << step);
      now += milliseconds(random.UniformBelow(5));
      if (running.empty() || random.UniformBelow(2) == 0) {
        const auto number = random.UniformBelow(25);
        const auto key = "key" + std::to_string(number);
        const auto fingerprint = random.UniformBelow(10) == 0 ? 2 : 1;
        // The prefix of a key determines its expiry.
        const auto expiry = At(200 + static_cast<int>(number) * 30);
        StartedCallTable::Entry expected;
        const auto result = naive.Begin(key, fingerprint, expiry, now, &expected);
        const auto decision = table.Begin(key, fingerprint, expiry);
        REQUIRE(decision.result == result);
        if (result == LookupResult::kEnded) {
          REQUIRE(decision.entry.outcome == expected.outcome);
          REQUIRE(decision.entry.response == expected.response);
        }
        if (result == LookupResult::kStart) running.push_back(key);
      } else {
        const auto position = random.UniformBelow(running.size());
        auto entry = ExecutedEntry(std::string(random.UniformBelow(500), 'x'));
        if (random.UniformBelow(3) == 0) entry.outcome = ExecutionOutcome::kNotExecuted;
        if (random.UniformBelow(5) == 0) entry = {ExecutionOutcome::kUnknown, nullptr};
        table.Finish(running[position], entry);
        naive.Finish(running[position], entry);
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(position));
      }
      REQUIRE(table.bytes() == naive.UsedBytes());
      REQUIRE(table.bytes() <= options.max_bytes);
    }
  }
}

// Guards against two threads that both start the call of one key.
TEST_CASE("[at-most-once] of many threads with one key exactly one starts the call",
          "[at-most-once]") {
  StartedCallTable table{StartedCallTable::Options()};
  const auto expiry = MonotonicNow() + std::chrono::minutes(1);
  for (int round = 0; round < 50; ++round) {
    const auto key = "key" + std::to_string(round);
    std::atomic<int> started{0};
    std::atomic<int> responses{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 8; ++i) {
      threads.emplace_back([&] {
        const auto decision = table.Begin(key, 1, expiry);
        auto entry = decision.entry;
        if (decision.result == LookupResult::kStart) {
          ++started;
          std::this_thread::yield();
          table.Finish(key, ExecutedEntry("body"));
          return;
        }
        if (decision.result == LookupResult::kRunning) {
          StartedCallTable::Wait(decision.execution.get(), expiry, &entry);
        }
        responses += entry.response != nullptr && entry.response->body == "body" ? 1 : 0;
      });
    }
    for (auto& thread : threads) thread.join();
    CHECK(started == 1);
    CHECK(responses == 7);
  }
}

// Guards against a key that expires between the reading of the clock and the insertion, such as
// when the process is suspended there.
TEST_CASE("[at-most-once] a call does not start once its key has expired", "[at-most-once]") {
  Instant now = At(100);
  StartedCallTable::Options options;
  options.clock = [&now] { return now; };
  StartedCallTable table(options);
  CHECK(table.Begin("a", 1, At(100)).result == LookupResult::kExpired);
  CHECK(table.Begin("a", 1, At(101)).result == LookupResult::kStart);
}

// Guards against a caller that waits without end for a call that doesn't finish.
TEST_CASE("waiting for an unfinished call ends at the deadline") {
  StartedCallTable table{StartedCallTable::Options()};
  const auto expiry = MonotonicNow() + std::chrono::minutes(1);
  table.Begin("a", 1, expiry);
  const auto decision = table.Begin("a", 1, expiry);
  REQUIRE(decision.result == LookupResult::kRunning);
  StartedCallTable::Entry entry;
  CHECK_FALSE(
      StartedCallTable::Wait(decision.execution.get(), MonotonicNow() + milliseconds(20), &entry));
}

}  // namespace
}  // namespace primroseweir
