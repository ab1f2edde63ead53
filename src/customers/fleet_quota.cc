#include "primroseweir/customers/fleet_quota.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <unordered_set>

#include "primroseweir/customers/customer.h"
#include "primroseweir/customers/customer_table.h"

namespace primroseweir {
namespace {

// One call, less the rounding errors of a bucket.
constexpr double kToken = 1 - 1e-6;
// Window in which a quota is checked.
constexpr double kWindowSeconds = 5;
constexpr double kMinRate = 1e-6;
// Last reports that state that an instance has no more calls; two of them may be lost.
constexpr std::size_t kLastReports = 3;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// Finaliser of splitmix64.
std::uint64_t Mix(std::uint64_t x) {
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31U);
}

}  // namespace

void FleetQuota::Apply(const CustomerTable* customers, Instant now) {
  limits_.clear();
  other_ids_.clear();
  if (customers != nullptr) {
    AssignIds(*customers);
    for (const auto& customer : customers->customers()) {
      if (customer.has_quota()) {
        limits_[IdOf(customer)] = {customer.rate, std::max(customer.burst, 1.0)};
      }
    }
  }
  if (!limits_.empty() && !started_at_) {
    started_at_ = now;
  }
  for (auto it = states_.begin(); it != states_.end();) {
    const auto found = limits_.find(it->first);
    if (found == limits_.end()) {
      it = states_.erase(it);
      continue;
    }
    Refill(&it->second, now);
    it->second.limits = found->second;
    it->second.level = std::min(it->second.level, found->second.burst);
    ++it;
  }
}

std::uint32_t FleetQuota::IdOf(const Customer& customer) const {
  const auto found = other_ids_.find(customer.hash);
  return found != other_ids_.end() ? found->second : static_cast<std::uint32_t>(customer.hash);
}

void FleetQuota::AssignIds(const CustomerTable& customers) {
  std::set<std::uint64_t> hashes;
  for (const auto& customer : customers.customers()) {
    if (customer.has_quota()) {
      hashes.insert(customer.hash);
    }
  }
  std::unordered_set<std::uint32_t> taken;
  std::vector<std::uint64_t> colliding;
  for (const auto hash : hashes) {
    if (!taken.insert(static_cast<std::uint32_t>(hash)).second) {
      colliding.push_back(hash);
    }
  }
  for (const auto hash : colliding) {
    auto bits = Mix(hash);
    while (!taken.insert(static_cast<std::uint32_t>(bits)).second) {
      bits = Mix(bits + 1);
    }
    other_ids_[hash] = static_cast<std::uint32_t>(bits);
  }
}

// ---- calls ----

FleetQuota::Decision FleetQuota::TryAcquire(const Customer& customer, std::uint64_t request,
                                            Instant now) {
  if (!customer.has_quota()) {
    return {};
  }
  // Before the look-up, since it removes the states that were not used for long.
  RefreshFleet(now);
  auto* state = FindOrCreate(IdOf(customer), now);
  if (state == nullptr) {
    return {};
  }
  if (now - last_asked_at_ > kActivePeriod) {
    active_since_ = now;
  }
  last_asked_at_ = now;
  is_reporting_ = true;
  last_reports_left_ = kLastReports;
  Refill(state, now);
  if (now - state->last_asked_at > kContenderPeriod) {
    state->first_asked_at = now;
  }
  state->last_asked_at = state->last_used_at = now;
  const double contenders = CountContenders(state, now);
  const auto period =
      IsNewlyActive(now) ? std::max(unconfirmed_period_, ActivationTime()) : unconfirmed_period_;
  const double unconfirmed = AdmittedWithin(*state, period, now);
  const double bucket = state->level + unconfirmed;
  // The refill within the period belongs to the bucket that all contenders share.
  const double refill = state->limits.rate * share_ * Seconds(unconfirmed_period_ - kReportDelay);
  const double allowed = std::max((bucket + refill) / contenders, kFleetAllowance / contenders);
  // Turns are given within this instance's share.
  const bool admits = TakeTurn(state, request, now)
                          ? state->level >= kToken
                          : HasUnreservedToken(*state, now) &&
                                unconfirmed + Draw(state, IdOf(customer), period, now) <= allowed;
  if (!admits) {
    return {false, GiveTurn(state, request, contenders, now)};
  }
  state->level -= 1;
  ++state->slots[static_cast<std::size_t>(state->newest_slot) % kSlots];
  if (state->refunds > 0 && now - state->refunded_at < kRefundRetention) {
    --state->refunds;
  } else {
    state->refunds = 0;
    ++state->admitted;
    ++total_admitted_;
  }
  return {};
}

bool FleetQuota::TakeTurn(State* state, std::uint64_t request, Instant now) {
  auto& turns = state->turns;
  while (!turns.empty() && now - turns.front().at > kUnusedTurnRetention) {
    turns.pop_front();
  }
  for (auto it = turns.begin(); it != turns.end() && it->at <= now; ++it) {
    if (it->request == request) {
      turns.erase(it);
      return true;
    }
  }
  return false;
}

bool FleetQuota::HasUnreservedToken(const State& state, Instant now) const {
  const double rate = state.limits.rate * share_;
  // At most half of the bucket is kept for callers that may not return.
  const double most_kept = state.limits.burst / 2;
  double turns = 0;
  double kept = 0;
  for (const auto& turn : state.turns) {
    turns += 1;
    kept = std::max(kept, turns - rate * std::max(0.0, Seconds(turn.at - now)));
  }
  return state.level >= kToken + std::min(kept, most_kept);
}

Duration FleetQuota::GiveTurn(State* state, std::uint64_t request, double contenders,
                              Instant now) const {
  const double rate = std::max(state->limits.rate * share_ / contenders, kMinRate);
  if (IsSettling(now) || IsNewlyActive(now)) {
    // The share grows once the others are known, which is soon compared to a turn at this share.
    const auto start = IsSettling(now) ? *started_at_ + kMinSettleTime : active_since_;
    const auto known_at = std::max(now, start + ActivationTime());
    return std::min<Duration>(known_at - now + FromSeconds(1 / std::max(state->limits.rate, 1.0)),
                              kMaxRetryAfter);
  }
  const double missing = std::max(0.0, 1 - state->level) / rate;
  double wait = std::max(missing, 1 / rate);
  if (!state->turns.empty()) {
    wait = std::max(wait, Seconds(state->turns.back().at - now) + 1 / rate);
  }
  if (state->turns.size() >= kMaxTurns || wait > Seconds(kMaxRetryAfter)) {
    return kMaxRetryAfter;
  }
  const auto turn = now + FromSeconds(wait);
  state->turns.push_back({turn, request});
  return turn - now;
}

void FleetQuota::Refund(const Customer& customer, Instant now) {
  const auto found = states_.find(IdOf(customer));
  if (found == states_.end()) {
    return;
  }
  auto& state = found->second;
  AdvanceSlots(&state, now);
  state.level = std::min(state.level + 1, state.limits.burst);
  if (now - state.refunded_at >= kRefundRetention) {
    state.refunds = 0;
  }
  state.refunds += static_cast<double>(state.refunds) < state.limits.burst ? 1 : 0;
  state.refunded_at = now;
  auto& slot = state.slots[static_cast<std::size_t>(state.newest_slot) % kSlots];
  slot -= slot > 0 ? 1 : 0;
}

FleetQuota::State* FleetQuota::FindOrCreate(std::uint32_t customer, Instant now) {
  const auto found = states_.find(customer);
  if (found != states_.end()) {
    return &found->second;
  }
  const auto limits = limits_.find(customer);
  if (limits == limits_.end()) {
    return nullptr;
  }
  RefreshFleet(now);
  auto& state = states_[customer];
  state.limits = limits->second;
  // No active instance has reported calls of the customer, so its bucket is full, unless this
  // instance is too new to know: the fleet may have used a full bucket just before it started.
  state.refilled_at = std::max(*started_at_, now - kStateRetention);
  state.last_used_at = now;
  // Starts above all values that it may have had before.
  state.admitted = total_admitted_;
  state.newest_slot = now.time_since_epoch() / kSlotLength;
  if (IsSettling(now) && is_serving_) {
    const auto& [rate, burst] = limits->second;
    const double allowance =
        kStartAllowance + kStartAllowanceShare * (rate * kWindowSeconds + burst);
    state.level = std::min(burst, allowance / serving_instances_);
  }
  Refill(&state, now);
  return &state;
}

void FleetQuota::Refill(State* state, Instant now) {
  AdvanceSlots(state, now);
  const double seconds = std::max(0.0, Seconds(now - state->refilled_at));
  const double capacity =
      std::max(state->limits.burst * share_, std::min(1.0, state->limits.burst));
  state->level = std::min(capacity, state->level + seconds * state->limits.rate * share_);
  state->refilled_at = std::max(state->refilled_at, now);
}

void FleetQuota::Charge(State* state, double calls) const {
  state->level = std::max(state->level - calls, -kMaxDebtSeconds * state->limits.rate);
}

void FleetQuota::AdvanceSlots(State* state, Instant now) {
  const std::int64_t slot = now.time_since_epoch() / kSlotLength;
  const auto first = std::max(state->newest_slot + 1, slot - static_cast<std::int64_t>(kSlots) + 1);
  for (auto cleared = first; cleared <= slot; ++cleared) {
    state->slots[static_cast<std::size_t>(cleared) % kSlots] = 0;
  }
  state->newest_slot = std::max(state->newest_slot, slot);
}

double FleetQuota::AdmittedWithin(const State& state, Duration period, Instant now) {
  const auto slots = std::min<std::int64_t>(kSlots, period / kSlotLength);
  std::uint64_t sum = 0;
  for (std::int64_t back = 0; back < slots; ++back) {
    sum += state.slots[static_cast<std::size_t>(state.newest_slot - back) % kSlots];
  }
  return static_cast<double>(sum);
}

double FleetQuota::Draw(State* state, std::uint32_t customer, Duration period, Instant now) const {
  if (state->draw == 0 || now - state->drawn_at >= period) {
    const auto ticks = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const auto bits = Mix(Mix(seed_ ^ customer) + ticks) >> 11U;
    state->draw = static_cast<double>(bits + 1) / 9007199254740992.0;
    state->drawn_at = now;
  }
  return state->draw;
}

// ---- fleet ----

Duration FleetQuota::SettleTime(double instances) {
  const double rounds = instances / static_cast<double>(kMaxReportTargets);
  return std::clamp<Duration>(FromSeconds(rounds * Seconds(kReportInterval)), kMinSettleTime,
                              kMaxSettleTime);
}

bool FleetQuota::IsSettling(Instant now) const {
  const auto settle_time =
      is_serving_ ? kMinSettleTime : SettleTime(static_cast<double>(peak_fleet_size_));
  return now - *started_at_ < settle_time;
}

Duration FleetQuota::ActivationTime() const {
  // Each report names a few instances and goes to a few, so both the instances to learn of and the
  // time until the next report grow with the fleet.
  const auto all = static_cast<double>(peak_fleet_size_);
  const auto discovery_time = FromSeconds(std::min(all * all * kDiscoverySeconds, kWindowSeconds));
  return std::clamp<Duration>(discovery_time, SettleTime(active_instances_), kMaxSettleTime);
}

bool FleetQuota::IsNewlyActive(Instant now) const { return now - active_since_ < ActivationTime(); }

void FleetQuota::RefreshFleet(Instant now) {
  if (!started_at_ || (refreshed_at_ != Instant() && now - refreshed_at_ < kSlotLength / 2)) {
    return;
  }
  std::size_t active = 0;
  for (const auto& [ip, peer] : peers_) {
    active += peer.is_active ? 1 : 0;
  }
  const auto silence = kMinSilence + kReportInterval * 3 * (active / kMaxReportTargets);
  std::size_t known = 1;
  std::size_t heard = 1;
  auto oldest = now;
  for (auto it = peers_.begin(); it != peers_.end();) {
    const auto& peer = it->second;
    const auto retention = peer.heard_at == Instant() ? kActivePeriod : kSilentPeerRetention;
    if (now - std::max(peer.heard_at, peer.known_at) > retention) {
      it = peers_.erase(it);
      continue;
    }
    if (peer.is_active && now >= peer.expected_at) {
      ++known;
      if (now - peer.heard_at <= silence) {
        ++heard;
        oldest = std::min(oldest, peer.heard_at);
      }
    }
    ++it;
  }
  const bool settling = IsSettling(now);
  double instances = static_cast<double>(known);
  if (settling) {
    instances = std::max(instances,
                         is_serving_ ? serving_instances_ : static_cast<double>(peak_fleet_size_));
  }
  // The other parts of a divided fleet may have calls that nobody reports here, also if they had
  // none before.
  const double heard_share =
      std::min({static_cast<double>(heard) / instances, live_share_, AnsweredShare(now)});
  const double share = std::min(1.0, kDividedFleetShare * heard_share);
  const bool first = refreshed_at_ == Instant();
  if (!first && share < share_) {
    // Instances that have fallen silent may be using their part of what the buckets hold.
    for (auto& [id, state] : states_) {
      Refill(&state, now);
      state.level = state.level > 0 ? state.level * share / share_ : state.level;
    }
  }
  share_ = share;
  heard_share_ = heard_share;
  active_instances_ = instances;
  unconfirmed_period_ =
      std::clamp<Duration>((now - oldest + kReportInterval) / kSlotLength * kSlotLength,
                           kReportDelay, kSlotLength * static_cast<std::int64_t>(kSlots));
  refreshed_at_ = now;
  for (auto it = states_.begin(); it != states_.end();) {
    it = now - it->second.last_used_at > kStateRetention ? states_.erase(it) : std::next(it);
  }
}

double FleetQuota::AnsweredShare(Instant now) const {
  double expected = 0;
  double answered = 0;
  for (const auto& [address, peer] : peers_) {
    const auto age = now - peer.expected_at;
    if (peer.expected_at >= active_since_ && age >= Duration::zero() && age < kActivePeriod) {
      expected += 1;
      answered += peer.heard_at >= active_since_ ? 1 : 0;
    }
  }
  if (answered * kDividedFleetShare >= expected) {
    return 1;
  }
  const double spare = (kDividedFleetShare - 1) / kDividedFleetShare;
  return std::min(1.0, answered / expected + 1 / possible_instances_) * spare;
}

double FleetQuota::CountContenders(State* state, Instant now) const {
  // An instance without calls until now receives few reports. Between the number of instances that
  // it knows to serve callers and that of all, which may all have begun at this moment.
  if (IsNewlyActive(now)) {
    const double serving = std::max(active_instances_, serving_instances_);
    const double all = std::max(serving, static_cast<double>(peak_fleet_size_));
    return is_serving_ ? serving : std::cbrt(serving * all * all);
  }
  if (IsSettling(now)) {
    return active_instances_;
  }
  if (now - state->contenders_counted_at >= kSlotLength) {
    auto& counts = state->peer_counts;
    std::size_t contenders = 1;
    for (auto it = counts.begin(); it != counts.end();) {
      const auto age = now - it->second.reported_at;
      contenders += age < kContenderPeriod + unconfirmed_period_ ? 1 : 0;
      it = age > kPeerCountRetention ? counts.erase(it) : std::next(it);
    }
    state->contenders = static_cast<double>(contenders);
    state->contenders_counted_at = now;
  }
  // As many of the silent instances may have such calls as of those that are heard.
  const double contenders = std::min(state->contenders / heard_share_, active_instances_);
  // Until the others had time to report, several active instances may have begun at this moment.
  const bool is_first = now - state->first_asked_at < unconfirmed_period_;
  return is_first ? std::max(contenders, std::cbrt(active_instances_ * active_instances_))
                  : contenders;
}

double FleetQuota::usable_share(Instant now) {
  RefreshFleet(now);
  return share_;
}

std::vector<std::uint32_t> FleetQuota::ActivePeers(Instant now) const {
  std::vector<std::uint32_t> active;
  for (const auto& [address, peer] : peers_) {
    if (peer.is_active && now - std::max(peer.heard_at, peer.known_at) < kActivePeriod) {
      active.push_back(address);
    }
  }
  return active;
}

void FleetQuota::ExpectAnswers(const std::vector<std::uint32_t>& peers, Instant now) {
  if (!is_reporting_ || now - active_since_ > kMinSilence) {
    return;
  }
  for (const auto address : peers) {
    if (address == own_address_ || peers_.size() >= kMaxPeers) {
      continue;
    }
    auto& peer = peers_[address];
    if (peer.expected_at >= active_since_ || peer.heard_at >= active_since_) {
      continue;
    }
    // What it last reported may be older than a cut.
    if (!peer.is_active || now - peer.heard_at > kActivePeriod) {
      peer.is_active = true;
      peer.heard_at = Instant();
    }
    peer.known_at = now;
    peer.expected_at = now + kMinSilence;
  }
}

}  // namespace primroseweir
