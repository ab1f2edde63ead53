#include "primroseweir/keys/started_call_table.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {

// The end of one run, shared by the table and those who wait.
class StartedCallTable::Run {
 public:
  void End(const Entry& entry) {
    const std::lock_guard<std::mutex> lock(mutex_);
    entry_ = entry;
    ended_ = true;
    changed_.notify_all();
  }

  bool Wait(Instant deadline, Entry* entry) {
    std::unique_lock<std::mutex> lock(mutex_);
    if (!changed_.wait_until(lock, deadline, [this] { return ended_; })) {
      return false;
    }
    *entry = entry_;
    return true;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool ended_ = false;
  Entry entry_;
};

class StartedCallTable::Shard {
 public:
  explicit Shard(const Options& options)
      : budget_(options.bytes / options.shards),
        response_bytes_(options.response_bytes),
        clock_(options.clock) {}

  Decision Begin(const std::string& key, std::uint64_t fingerprint, Instant expiry) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto now = clock_();
    ForgetExpired(now);
    if (expiry <= now) {
      return {LookupResult::kExpired, {}, nullptr};
    }
    const auto known = calls_.find(key);
    if (known != calls_.end()) {
      return Known(known->second, fingerprint);
    }
    if (!MakeRoom(CostOf(key))) {
      return {LookupResult::kFull, {}, nullptr};
    }
    used_ += CostOf(key);
    Call& call = calls_[key];
    call.fingerprint = fingerprint;
    call.run = std::make_shared<Run>();
    call.expiry = expiries_.emplace(expiry, key);
    return {LookupResult::kStart, {}, nullptr};
  }

  void Finish(const std::string& key, const Entry& entry) {
    std::shared_ptr<Run> run;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto found = calls_.find(key);
      if (found == calls_.end()) {
        return;
      }
      run = std::move(found->second.run);
      found->second.run = nullptr;
      Keep(found, entry);
    }
    run->End(entry);
  }

  std::size_t bytes() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return used_;
  }

 private:
  struct Call {
    std::uint64_t fingerprint = 0;
    // Null once the run has ended.
    std::shared_ptr<Run> run;
    Entry entry;
    std::multimap<Instant, std::string>::iterator expiry;
  };
  using Calls = std::unordered_map<std::string, Call>;

  static std::size_t CostOf(const std::string& key) { return 2 * key.size() + kKeyOverhead; }

  static Decision Known(const Call& call, std::uint64_t fingerprint) {
    if (call.fingerprint != fingerprint) {
      return {LookupResult::kRequestMismatch, {}, nullptr};
    }
    if (call.run != nullptr) {
      return {LookupResult::kRunning, {}, call.run};
    }
    return {LookupResult::kEnded, call.entry, nullptr};
  }

  void Keep(Calls::iterator call, const Entry& entry) {
    if (entry.outcome == Outcome::kNotExecuted) {
      Forget(call);
      return;
    }
    call->second.entry.outcome = entry.outcome;
    const auto size = entry.response == nullptr ? 0 : entry.response->Bytes();
    if (entry.response == nullptr || size > response_bytes_ || !MakeRoom(size)) {
      return;
    }
    used_ += size;
    call->second.entry.response = entry.response;
    responses_.push_back(call->first);
  }

  void Forget(Calls::iterator call) {
    DropResponse(&call->second);
    used_ -= CostOf(call->first);
    expiries_.erase(call->second.expiry);
    calls_.erase(call);
  }

  void DropResponse(Call* call) {
    if (call->entry.response != nullptr) {
      used_ -= call->entry.response->Bytes();
      call->entry.response = nullptr;
    }
  }

  // Drops the oldest answers until `size` bytes are free; false when that is not enough.
  bool MakeRoom(std::size_t size) {
    while (used_ + size > budget_ && !responses_.empty()) {
      const auto oldest = calls_.find(responses_.front());
      if (oldest != calls_.end()) {
        DropResponse(&oldest->second);
      }
      responses_.pop_front();
    }
    return used_ + size <= budget_;
  }

  // Running calls stay until they end.
  void ForgetExpired(Instant now) {
    for (auto next = expiries_.begin(); next != expiries_.end() && next->first <= now;) {
      const auto call = calls_.find((next++)->second);
      if (call->second.run == nullptr) {
        Forget(call);
      }
    }
    while (!responses_.empty() && calls_.count(responses_.front()) == 0) {
      responses_.pop_front();
    }
  }

  const std::size_t budget_;
  const std::size_t response_bytes_;
  const std::function<Instant()> clock_;
  mutable std::mutex mutex_;
  Calls calls_;
  std::multimap<Instant, std::string> expiries_;
  // Keys of calls with an answer, oldest answer first. May name forgotten calls.
  std::deque<std::string> responses_;
  std::size_t used_ = 0;
};

StartedCallTable::StartedCallTable(const Options& options) {
  for (std::size_t i = 0; i < options.shards; ++i) {
    shards_.push_back(std::make_unique<Shard>(options));
  }
}

StartedCallTable::~StartedCallTable() = default;

StartedCallTable::Shard* StartedCallTable::ShardOf(const std::string& key) const {
  return shards_[StableHash(key) % shards_.size()].get();
}

StartedCallTable::Decision StartedCallTable::Begin(const std::string& key,
                                                   std::uint64_t fingerprint, Instant expiry) {
  return ShardOf(key)->Begin(key, fingerprint, expiry);
}

void StartedCallTable::Finish(const std::string& key, const Entry& entry) {
  ShardOf(key)->Finish(key, entry);
}

bool StartedCallTable::Wait(Run* run, Instant deadline, Entry* entry) {
  return run->Wait(deadline, entry);
}

std::size_t StartedCallTable::bytes() const {
  std::size_t sum = 0;
  for (const auto& part : shards_) {
    sum += part->bytes();
  }
  return sum;
}

}  // namespace primroseweir
