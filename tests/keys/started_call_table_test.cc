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

StartedCallTable::Entry Answered(const std::string& body) {
  auto response = std::make_shared<StoredResponse>();
  response->body = body;
  return {Outcome::kExecuted, response};
}

Instant At(int ms) { return Instant(milliseconds(ms)); }

// ---- naive version ----

// Says the same as StartedCallTable with one part, by walking a list.
class NaiveTable {
 public:
  NaiveTable(std::size_t budget, std::size_t response_bytes)
      : budget_(budget), response_bytes_(response_bytes) {}

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
    if (!MakeRoom(Cost(added))) return LookupResult::kFull;
    calls_.push_back(added);
    return LookupResult::kStart;
  }

  void Finish(const std::string& key, const StartedCallTable::Entry& entry) {
    for (auto call = calls_.begin(); call != calls_.end(); ++call) {
      if (call->key != key) continue;
      if (entry.outcome == Outcome::kNotExecuted) {
        calls_.erase(call);
        return;
      }
      call->running = false;
      call->entry.outcome = entry.outcome;
      if (entry.response != nullptr && entry.response->Bytes() <= response_bytes_ &&
          MakeRoom(entry.response->Bytes())) {
        call->entry.response = entry.response;
        call->answered = ++responses_;
      }
      return;
    }
  }

  std::size_t Used() const {
    std::size_t used = 0;
    for (const Call& call : calls_) used += Cost(call);
    return used;
  }

 private:
  struct Call {
    std::string key;
    std::uint64_t fingerprint;
    Instant expiry;
    bool running;
    StartedCallTable::Entry entry;
    std::uint64_t answered;
  };

  static std::size_t Cost(const Call& call) {
    const auto response = call.entry.response == nullptr ? 0 : call.entry.response->Bytes();
    return 2 * call.key.size() + StartedCallTable::kKeyOverhead + response;
  }

  bool MakeRoom(std::size_t size) {
    while (Used() + size > budget_) {
      Call* oldest = nullptr;
      for (Call& call : calls_) {
        if (call.entry.response == nullptr) continue;
        if (oldest == nullptr || call.answered < oldest->answered) oldest = &call;
      }
      if (oldest == nullptr) return false;
      oldest->entry.response = nullptr;
    }
    return true;
  }

  const std::size_t budget_;
  const std::size_t response_bytes_;
  std::uint64_t responses_ = 0;
  std::list<Call> calls_;
};

// Guards against any difference between the table's indexes and the plain rules of the design, such
// as a key that is forgotten early and runs twice.
TEST_CASE("[at-most-once] the started-call table agrees with a naive version", "[at-most-once]") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    Instant now = At(0);
    StartedCallTable::Options options;
    options.bytes = 3'000 + random.Below(3'000);
    options.response_bytes = 400;
    options.shards = 1;
    options.clock = [&now] { return now; };
    StartedCallTable table(options);
    NaiveTable naive(options.bytes, options.response_bytes);
    std::vector<std::string> running;
    for (int step = 0; step < 400; ++step) {
      INFO("seed " << seed << " step " << step);
      now += milliseconds(random.Below(5));
      if (running.empty() || random.Below(2) == 0) {
        const auto number = random.Below(25);
        const auto key = "key" + std::to_string(number);
        const auto fingerprint = random.Below(10) == 0 ? 2 : 1;
        // Each key has one expiry, as its prefix says.
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
        const auto position = random.Below(running.size());
        auto entry = Answered(std::string(random.Below(500), 'x'));
        if (random.Below(3) == 0) entry.outcome = Outcome::kNotExecuted;
        if (random.Below(5) == 0) entry = {Outcome::kUnknown, nullptr};
        table.Finish(running[position], entry);
        naive.Finish(running[position], entry);
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(position));
      }
      REQUIRE(table.bytes() == naive.Used());
      REQUIRE(table.bytes() <= options.bytes);
    }
  }
}

// Guards against two threads that both start the same key.
TEST_CASE("[at-most-once] of many threads with one key exactly one starts it", "[at-most-once]") {
  StartedCallTable table{StartedCallTable::Options()};
  const auto expiry = MonotonicNow() + std::chrono::minutes(1);
  for (int round = 0; round < 50; ++round) {
    const auto key = "key" + std::to_string(round);
    std::atomic<int> started{0};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 8; ++i) {
      threads.emplace_back([&] {
        const auto decision = table.Begin(key, 1, expiry);
        auto entry = decision.entry;
        if (decision.result == LookupResult::kStart) {
          ++started;
          std::this_thread::yield();
          table.Finish(key, Answered("body"));
          return;
        }
        if (decision.result == LookupResult::kRunning) {
          StartedCallTable::Wait(decision.run.get(), expiry, &entry);
        }
        answered += entry.response != nullptr && entry.response->body == "body" ? 1 : 0;
      });
    }
    for (auto& thread : threads) thread.join();
    CHECK(started == 1);
    CHECK(answered == 7);
  }
}

// Guards against a process that was paused between reading the clock and inserting the key.
TEST_CASE("[at-most-once] an expired key does not start", "[at-most-once]") {
  Instant now = At(100);
  StartedCallTable::Options options;
  options.clock = [&now] { return now; };
  StartedCallTable table(options);
  CHECK(table.Begin("a", 1, At(100)).result == LookupResult::kExpired);
  CHECK(table.Begin("a", 1, At(101)).result == LookupResult::kStart);
}

// Guards against a caller that waits for ever for a run that doesn't end.
TEST_CASE("waiting for a run ends at the deadline") {
  StartedCallTable table{StartedCallTable::Options()};
  const auto expiry = MonotonicNow() + std::chrono::minutes(1);
  table.Begin("a", 1, expiry);
  const auto decision = table.Begin("a", 1, expiry);
  REQUIRE(decision.result == LookupResult::kRunning);
  StartedCallTable::Entry entry;
  CHECK_FALSE(
      StartedCallTable::Wait(decision.run.get(), MonotonicNow() + milliseconds(20), &entry));
}

}  // namespace
}  // namespace primroseweir
