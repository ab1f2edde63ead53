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

class StartedCallTable::Part {
 public:
  explicit Part(const Options& options)
      : budget_(options.bytes / options.parts),
        answer_bytes_(options.answer_bytes),
        clock_(options.clock) {}

  Decision Begin(const std::string& key, std::uint64_t fingerprint, Instant expiry) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto now = clock_();
    ForgetExpired(now);
    if (expiry <= now) {
      return {Verdict::kExpired, {}, nullptr};
    }
    const auto known = calls_.find(key);
    if (known != calls_.end()) {
      return Known(known->second, fingerprint);
    }
    if (!MakeRoom(CostOf(key))) {
      return {Verdict::kFull, {}, nullptr};
    }
    used_ += CostOf(key);
    Call& call = calls_[key];
    call.fingerprint = fingerprint;
    call.run = std::make_shared<Run>();
    call.expiry = expiries_.emplace(expiry, key);
    return {Verdict::kStart, {}, nullptr};
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
      return {Verdict::kOtherRequest, {}, nullptr};
    }
    if (call.run != nullptr) {
      return {Verdict::kRunning, {}, call.run};
    }
    return {Verdict::kEnded, call.entry, nullptr};
  }

  void Keep(Calls::iterator call, const Entry& entry) {
    if (entry.outcome == Outcome::kNotRun) {
      Forget(call);
      return;
    }
    call->second.entry.outcome = entry.outcome;
    const auto size = entry.answer == nullptr ? 0 : entry.answer->Bytes();
    if (entry.answer == nullptr || size > answer_bytes_ || !MakeRoom(size)) {
      return;
    }
    used_ += size;
    call->second.entry.answer = entry.answer;
    answers_.push_back(call->first);
  }

  void Forget(Calls::iterator call) {
    DropAnswer(&call->second);
    used_ -= CostOf(call->first);
    expiries_.erase(call->second.expiry);
    calls_.erase(call);
  }

  void DropAnswer(Call* call) {
    if (call->entry.answer != nullptr) {
      used_ -= call->entry.answer->Bytes();
      call->entry.answer = nullptr;
    }
  }

  // Drops the oldest answers until `size` bytes are free; false when that is not enough.
  bool MakeRoom(std::size_t size) {
    while (used_ + size > budget_ && !answers_.empty()) {
      const auto oldest = calls_.find(answers_.front());
      if (oldest != calls_.end()) {
        DropAnswer(&oldest->second);
      }
      answers_.pop_front();
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
    while (!answers_.empty() && calls_.count(answers_.front()) == 0) {
      answers_.pop_front();
    }
  }

  const std::size_t budget_;
  const std::size_t answer_bytes_;
  const std::function<Instant()> clock_;
  mutable std::mutex mutex_;
  Calls calls_;
  std::multimap<Instant, std::string> expiries_;
  // Keys of calls with an answer, oldest answer first. May name forgotten calls.
  std::deque<std::string> answers_;
  std::size_t used_ = 0;
};

StartedCallTable::StartedCallTable(const Options& options) {
  for (std::size_t i = 0; i < options.parts; ++i) {
    parts_.push_back(std::make_unique<Part>(options));
  }
}

StartedCallTable::~StartedCallTable() = default;

StartedCallTable::Part* StartedCallTable::PartOf(const std::string& key) const {
  return parts_[StableHash(key) % parts_.size()].get();
}

StartedCallTable::Decision StartedCallTable::Begin(const std::string& key,
                                                   std::uint64_t fingerprint, Instant expiry) {
  return PartOf(key)->Begin(key, fingerprint, expiry);
}

void StartedCallTable::Finish(const std::string& key, const Entry& entry) {
  PartOf(key)->Finish(key, entry);
}

bool StartedCallTable::Wait(Run* run, Instant deadline, Entry* entry) {
  return run->Wait(deadline, entry);
}

std::size_t StartedCallTable::bytes() const {
  std::size_t sum = 0;
  for (const auto& part : parts_) {
    sum += part->bytes();
  }
  return sum;
}

}  // namespace primroseweir
