#include "primroseweir/limits/crash_guard.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {

// ---- events ----

void CrashGuard::AddStrike(std::uint64_t fingerprint, const UpstreamId& upstream, Instant now) {
  if (fingerprint == 0) return;
  Sender sender;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    AddToRecord(&FindOrCreate(fingerprint, now, now), upstream, now);
    sender = sender_;
  }
  if (sender) sender({fingerprint, upstream, Duration::zero(), false});
}

void CrashGuard::RecordSuccess(std::uint64_t fingerprint, const UpstreamId& upstream, Instant now) {
  if (!MayBeKnown(fingerprint)) return;
  Sender sender;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!ClearStrikes(fingerprint, upstream, now)) return;
    sender = sender_;
  }
  if (sender) sender({fingerprint, upstream, Duration::zero(), true});
}

void CrashGuard::Merge(const std::vector<CrashStrike>& strikes, Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::size_t merged = std::min(strikes.size(), kMaxMergedStrikes);
  for (std::size_t i = 0; i < merged; ++i) {
    const CrashStrike& strike = strikes[i];
    if (strike.upstream.value().size() > kMaxUpstreamIdBytes) continue;
    if (strike.age >= Duration::zero() && strike.age < kQuarantineTime) MergeStrike(strike, now);
  }
}

void CrashGuard::SetSender(Sender sender) {
  const std::lock_guard<std::mutex> lock(mutex_);
  sender_ = std::move(sender);
}

// ---- decisions ----

CrashGuard::Classification CrashGuard::Check(std::uint64_t fingerprint, Instant now) const {
  if (!MayBeKnown(fingerprint)) return Classification::kClear;
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = records_.find(fingerprint);
  return found == records_.end() ? Classification::kClear : Classify(found->second, now);
}

UpstreamId CrashGuard::Assign(std::uint64_t fingerprint, const std::vector<UpstreamId>& candidates,
                              Instant now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::set<UpstreamId> reserved;
  for (const std::uint64_t suspect : ActiveReservations(fingerprint, now)) {
    if (reserved.size() == candidates.size()) reserved.clear();
    UpstreamId picked = PickUpstream(suspect, candidates, reserved);
    if (suspect == fingerprint) return picked;
    reserved.insert(std::move(picked));
  }
  return candidates.front();
}

UpstreamId CrashGuard::PickUpstream(std::uint64_t suspect,
                                    const std::vector<UpstreamId>& candidates,
                                    const std::set<UpstreamId>& reserved) const {
  const auto record = records_.find(suspect);
  // Prefers upstreams that no other suspect reserved, then those that the suspect has no strike on,
  // then the highest rendezvous score.
  const auto rank = [&](const UpstreamId& id) {
    const bool has_strike = record != records_.end() && record->second.strikes.count(id) != 0;
    return std::make_tuple(reserved.count(id) == 0, !has_strike,
                           RendezvousScore(id.value(), suspect));
  };
  return *std::max_element(
      candidates.begin(), candidates.end(),
      [&rank](const UpstreamId& a, const UpstreamId& b) { return rank(a) < rank(b); });
}

bool CrashGuard::TryStart(std::uint64_t fingerprint, const UpstreamId& upstream) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (running_.count(fingerprint) != 0 || busy_upstreams_.count(upstream) != 0) return false;
  running_.emplace(fingerprint, upstream);
  busy_upstreams_.insert(upstream);
  return true;
}

void CrashGuard::End(std::uint64_t fingerprint, const UpstreamId& upstream) {
  const std::lock_guard<std::mutex> lock(mutex_);
  running_.erase(fingerprint);
  busy_upstreams_.erase(upstream);
}

std::vector<CrashStrike> CrashGuard::Strikes(Instant now) const {
  std::vector<CrashStrike> strikes;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [fingerprint, record] : records_) {
    for (const auto& [upstream, at] : record.strikes) {
      if (now - at < kQuarantineTime) strikes.push_back({fingerprint, upstream, now - at, false});
    }
    if (record.cleared_at != Instant::min() && now - record.cleared_at < kQuarantineTime) {
      strikes.push_back({fingerprint, record.cleared_by, now - record.cleared_at, true});
    }
  }
  std::sort(strikes.begin(), strikes.end(),
            [](const CrashStrike& a, const CrashStrike& b) { return a.age < b.age; });
  return strikes;
}

std::vector<CrashStrike> CrashGuard::StrikesForStart(std::size_t max_bytes, Instant now) const {
  auto strikes = Strikes(now);
  std::stable_partition(strikes.begin(), strikes.end(), [this, now](const CrashStrike& strike) {
    return Check(strike.fingerprint, now) == Classification::kQuarantined;
  });
  std::size_t bytes = 0;
  const auto first_left_out =
      std::find_if(strikes.begin(), strikes.end(), [&](const CrashStrike& strike) {
        bytes += strike.upstream.value().size() + kStrikeBytes;
        return bytes > max_bytes;
      });
  strikes.erase(first_left_out, strikes.end());
  return strikes;
}

// ---- records, under the mutex ----

CrashGuard::Record& CrashGuard::FindOrCreate(std::uint64_t fingerprint, Instant newest,
                                             Instant now) {
  auto found = records_.find(fingerprint);
  if (found == records_.end()) {
    EvictOldest(now);
    UpdateFilter(fingerprint, 1);
    found = records_.emplace(fingerprint, Record()).first;
  } else {
    newest = std::max(newest, found->second.newest);
    by_newest_.erase({found->second.newest, fingerprint});
  }
  found->second.newest = newest;
  by_newest_.insert({newest, fingerprint});
  return found->second;
}

void CrashGuard::AddToRecord(Record* record, const UpstreamId& upstream, Instant at) {
  auto& strikes = record->strikes;
  strikes[upstream] = at;
  if (strikes.size() > kMaxStrikesPerFingerprint) {
    strikes.erase(
        std::min_element(strikes.begin(), strikes.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

void CrashGuard::MergeStrike(const CrashStrike& strike, Instant now) {
  const Instant at = now - strike.age;
  const auto found = records_.find(strike.fingerprint);
  if (strike.succeeded) {
    const bool is_known = found != records_.end() && found->second.cleared_at != Instant::min() &&
                          at - found->second.cleared_at < kSameEventWindow;
    if (!is_known) ClearStrikes(strike.fingerprint, strike.upstream, at);
    return;
  }
  if (found != records_.end() && found->second.cleared_at != Instant::min() &&
      at - found->second.cleared_at < kSameEventWindow) {
    return;
  }
  Record& record = FindOrCreate(strike.fingerprint, at, now);
  const auto known = record.strikes.find(strike.upstream);
  if (known == record.strikes.end()) {
    AddToRecord(&record, strike.upstream, at);
  } else if (at - known->second >= kSameEventWindow) {
    known->second = at;
  }
}

bool CrashGuard::ClearStrikes(std::uint64_t fingerprint, const UpstreamId& upstream, Instant at) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || at <= found->second.cleared_at) return false;
  Record& record = found->second;
  record.cleared_at = at;
  record.cleared_by = upstream;
  for (auto strike = record.strikes.begin(); strike != record.strikes.end();) {
    strike = strike->second <= at ? record.strikes.erase(strike) : std::next(strike);
  }
  return true;
}

CrashGuard::Classification CrashGuard::Classify(const Record& record, Instant now) const {
  Instant newest = Instant::min();
  for (const auto& [upstream, at] : record.strikes) newest = std::max(newest, at);
  if (record.strikes.empty() || now - newest >= kQuarantineTime) return Classification::kClear;
  const auto recent_strikes = std::count_if(
      record.strikes.begin(), record.strikes.end(),
      [newest](const auto& strike) { return newest - strike.second < kQuarantineTime; });
  return recent_strikes >= 2 ? Classification::kQuarantined : Classification::kSuspect;
}

void CrashGuard::EvictOldest(Instant now) {
  while (!by_newest_.empty()) {
    ++eviction_steps_;
    const auto [newest, fingerprint] = *by_newest_.begin();
    if (now - newest < kQuarantineTime && records_.size() < kMaxFingerprints) return;
    Evict(fingerprint);
  }
}

void CrashGuard::Evict(std::uint64_t fingerprint) {
  const auto found = records_.find(fingerprint);
  by_newest_.erase({found->second.newest, fingerprint});
  records_.erase(found);
  UpdateFilter(fingerprint, -1);
}

void CrashGuard::UpdateFilter(std::uint64_t fingerprint, int change) {
  filter_[fingerprint % kFilterSize].fetch_add(static_cast<std::uint16_t>(change),
                                               std::memory_order_release);
}

bool CrashGuard::MayBeKnown(std::uint64_t fingerprint) const {
  return filter_[fingerprint % kFilterSize].load(std::memory_order_acquire) != 0;
}

std::vector<std::uint64_t> CrashGuard::ActiveReservations(std::uint64_t included,
                                                          Instant now) const {
  std::vector<std::uint64_t> suspects;
  for (const auto& [fingerprint, record] : records_) {
    const bool is_recent = now - record.newest < kReservationTime;
    const bool is_suspect = Classify(record, now) == Classification::kSuspect;
    if (fingerprint == included || (is_recent && is_suspect)) suspects.push_back(fingerprint);
  }
  return suspects;
}

}  // namespace primroseweir
