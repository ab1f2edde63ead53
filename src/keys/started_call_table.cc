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

// State of one call being executed, shared by the table and the threads that wait for its outcome.
class StartedCallTable::Execution {
 public:
  void Complete(const Entry& entry) {
    const std::lock_guard<std::mutex> lock(mutex_);
    entry_ = entry;
    is_complete_ = true;
    completed_.notify_all();
  }

  bool Wait(Instant deadline, Entry* entry) {
    std::unique_lock<std::mutex> lock(mutex_);
    if (!completed_.wait_until(lock, deadline, [this] { return is_complete_; })) {
      return false;
    }
    *entry = entry_;
    return true;
  }

 private:
  std::mutex mutex_;
  std::condition_variable completed_;
  bool is_complete_ = false;
  Entry entry_;
};

class StartedCallTable::Shard {
 public:
  explicit Shard(const Options& options)
      : max_bytes_(options.max_bytes / options.shards),
        max_response_bytes_(options.max_response_bytes),
        clock_(options.clock) {}

  Decision Begin(const std::string& key, std::uint64_t fingerprint, Instant expiry) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto now = clock_();
    RemoveExpired(now);
    if (expiry <= now) {
      return {LookupResult::kExpired, {}, nullptr};
    }
    const auto found = calls_.find(key);
    if (found != calls_.end()) {
      return DecisionFor(found->second, fingerprint);
    }
    if (!MakeRoom(BytesOf(key))) {
      return {LookupResult::kFull, {}, nullptr};
    }
    used_bytes_ += BytesOf(key);
    Call& call = calls_[key];
    call.fingerprint = fingerprint;
    call.execution = std::make_shared<Execution>();
    call.expiry = expiries_.emplace(expiry, key);
    return {LookupResult::kStart, {}, nullptr};
  }

  void Finish(const std::string& key, const Entry& entry) {
    std::shared_ptr<Execution> execution;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto found = calls_.find(key);
      if (found == calls_.end()) {
        return;
      }
      execution = std::move(found->second.execution);
      found->second.execution = nullptr;
      StoreOutcome(found, entry);
    }
    execution->Complete(entry);
  }

  std::size_t bytes() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return used_bytes_;
  }

 private:
  struct Call {
    std::uint64_t fingerprint = 0;
    // Null once the call has finished.
    std::shared_ptr<Execution> execution;
    Entry entry;
    std::multimap<Instant, std::string>::iterator expiry;
  };
  using Calls = std::unordered_map<std::string, Call>;

  static std::size_t BytesOf(const std::string& key) { return 2 * key.size() + kKeyOverheadBytes; }

  static Decision DecisionFor(const Call& call, std::uint64_t fingerprint) {
    if (call.fingerprint != fingerprint) {
      return {LookupResult::kRequestMismatch, {}, nullptr};
    }
    if (call.execution != nullptr) {
      return {LookupResult::kRunning, {}, call.execution};
    }
    return {LookupResult::kEnded, call.entry, nullptr};
  }

  void StoreOutcome(Calls::iterator call, const Entry& entry) {
    if (entry.outcome == ExecutionOutcome::kNotExecuted) {
      Remove(call);
      return;
    }
    call->second.entry.outcome = entry.outcome;
    const auto size = entry.response == nullptr ? 0 : entry.response->Bytes();
    if (entry.response == nullptr || size > max_response_bytes_ || !MakeRoom(size)) {
      return;
    }
    used_bytes_ += size;
    call->second.entry.response = entry.response;
    keys_with_response_.push_back(call->first);
  }

  void Remove(Calls::iterator call) {
    DiscardResponse(&call->second);
    used_bytes_ -= BytesOf(call->first);
    expiries_.erase(call->second.expiry);
    calls_.erase(call);
  }

  void DiscardResponse(Call* call) {
    if (call->entry.response != nullptr) {
      used_bytes_ -= call->entry.response->Bytes();
      call->entry.response = nullptr;
    }
  }

  // Discards the oldest responses until `size` bytes are free. Returns false when there is not
  // enough room without any response.
  bool MakeRoom(std::size_t size) {
    while (used_bytes_ + size > max_bytes_ && !keys_with_response_.empty()) {
      const auto oldest = calls_.find(keys_with_response_.front());
      if (oldest != calls_.end()) {
        DiscardResponse(&oldest->second);
      }
      keys_with_response_.pop_front();
    }
    return used_bytes_ + size <= max_bytes_;
  }

  // Removes expired calls, except those that are still being executed.
  void RemoveExpired(Instant now) {
    for (auto next = expiries_.begin(); next != expiries_.end() && next->first <= now;) {
      const auto call = calls_.find((next++)->second);
      if (call->second.execution == nullptr) {
        Remove(call);
      }
    }
    while (!keys_with_response_.empty() && calls_.count(keys_with_response_.front()) == 0) {
      keys_with_response_.pop_front();
    }
  }

  const std::size_t max_bytes_;
  const std::size_t max_response_bytes_;
  const std::function<Instant()> clock_;
  mutable std::mutex mutex_;
  Calls calls_;
  std::multimap<Instant, std::string> expiries_;
  // Keys of calls with a stored response, oldest response first. May contain removed keys.
  std::deque<std::string> keys_with_response_;
  std::size_t used_bytes_ = 0;
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

bool StartedCallTable::Wait(Execution* execution, Instant deadline, Entry* entry) {
  return execution->Wait(deadline, entry);
}

std::size_t StartedCallTable::bytes() const {
  std::size_t sum = 0;
  for (const auto& shard : shards_) {
    sum += shard->bytes();
  }
  return sum;
}

}  // namespace primroseweir
