// Reports of a FleetQuota to other instances, and those that it receives.
#include <algorithm>
#include <chrono>
#include <limits>

#include "primroseweir/customers/fleet_quota.h"

namespace primroseweir {
namespace {

// Period of CustomerUsage::recently_admitted.
constexpr Duration kRecentPeriod = std::chrono::seconds(1);
// Window in which a quota is checked.
constexpr double kWindowSeconds = 5;

}  // namespace

std::optional<UsageReport> FleetQuota::AnswerTo(std::uint32_t peer, Instant now) {
  const auto found = peers_.find(peer);
  if (found == peers_.end() || !found->second.is_active ||
      now - found->second.reporting_since > kAnsweredPeriod ||
      now - found->second.answered_at < kMinAnswerInterval) {
    return std::nullopt;
  }
  found->second.answered_at = now;
  if (is_reporting_ && now - last_asked_at_ <= kActivePeriod) {
    return UsageToReport(now);
  }
  // Not from UsageToReport, whose last reports are for all active instances.
  UsageReport report;
  report.is_active = false;
  return report;
}

std::optional<UsageReport> FleetQuota::UsageToReport(Instant now) {
  if (!is_reporting_) {
    return std::nullopt;
  }
  UsageReport report;
  if (now - last_asked_at_ > kActivePeriod) {
    report.is_active = false;
    is_reporting_ = --last_reports_left_ > 0;
    return report;
  }
  for (auto& [id, state] : states_) {
    if (state.last_asked_at == Instant() || now - state.last_asked_at > kReportedPeriod) {
      continue;
    }
    AdvanceSlots(&state, now);
    const double recent = AdmittedWithin(state, kRecentPeriod, now);
    report.customers.push_back({id, state.admitted,
                                static_cast<std::uint16_t>(std::min<double>(
                                    recent, std::numeric_limits<std::uint16_t>::max()))});
  }
  if (report.customers.size() > kMaxReportedCustomers) {
    std::partial_sort(report.customers.begin(), report.customers.begin() + kMaxReportedCustomers,
                      report.customers.end(), [](const auto& a, const auto& b) {
                        return a.recently_admitted > b.recently_admitted;
                      });
    report.customers.resize(kMaxReportedCustomers);
  }
  // The next of those that were heard, in the order of their addresses.
  auto it = peers_.lower_bound(next_reported_peer_);
  for (std::size_t i = 0; i < std::min(peers_.size(), kMaxReportedPeers); ++i, ++it) {
    it = it == peers_.end() ? peers_.begin() : it;
    if (it->second.is_active && now - it->second.heard_at < kMinSilence) {
      report.active_peers.push_back(it->first);
    }
    next_reported_peer_ = it->first + 1;
  }
  return report;
}

void FleetQuota::MergeUsage(std::uint32_t peer, Incarnation incarnation, const UsageReport& usage,
                            Instant now) {
  if (!started_at_) {
    return;
  }
  // Before the new report: the peer may have been silent until now.
  RefreshFleet(now);
  if (peers_.size() >= kMaxPeers && peers_.count(peer) == 0) {
    return;
  }
  auto& known = peers_[peer];
  if (incarnation < known.incarnation) {
    return;
  }
  const bool is_new_run = known.incarnation < incarnation;
  const bool is_first = is_new_run || !known.is_active || now - known.heard_at > kActivePeriod;
  known = {incarnation,
           now,
           now,
           usage.is_active,
           known.expected_at,
           is_first ? now : known.reporting_since,
           known.answered_at};
  for (const auto address : usage.active_peers) {
    // Counts as silent until it is heard.
    if (address != own_address_ && peers_.size() < kMaxPeers) {
      const auto told =
          peers_.try_emplace(address, Peer{Incarnation(), Instant(), now, true, {}, {}, {}}).first;
      told->second.known_at = now;
    }
  }
  for (const auto& entry : usage.customers) {
    auto* state = FindOrCreate(entry.customer, now);
    if (state == nullptr) {
      continue;
    }
    Refill(state, now);
    const auto [count, is_added] = state->peer_counts.try_emplace(peer);
    // The peer may have dropped its own count since, and started another.
    const bool is_new = is_added || now - count->second.reported_at > kPeerCountRetention;
    // More calls than the quota of a window can't be told from an absurd report.
    const double most = 2 * (state->limits.burst + state->limits.rate * kWindowSeconds);
    double calls = entry.recently_admitted;
    if (!is_new && !is_new_run) {
      calls =
          static_cast<double>(static_cast<std::int32_t>(entry.admitted - count->second.admitted));
    }
    count->second.reported_at = now;
    if (calls < 0) {
      // An older report that arrives late.
      continue;
    }
    count->second.admitted = entry.admitted;
    Charge(state, std::min(calls, most));
    state->last_used_at = now;
  }
}

void FleetQuota::RecordRun(std::uint32_t peer, Incarnation incarnation) {
  const auto found = peers_.find(peer);
  if (found != peers_.end() && found->second.incarnation < incarnation) {
    peers_.erase(found);
  }
}

void FleetQuota::RecordStopped(std::uint32_t peer) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    // Kept, since others may still name it as active.
    found->second.is_active = false;
    found->second.expected_at = Instant();
  }
}

std::vector<std::uint32_t> FleetQuota::SilentPeers(Instant now) const {
  std::vector<std::uint32_t> silent;
  for (const auto& [address, peer] : peers_) {
    if (peer.is_active && now >= peer.expected_at && now - peer.heard_at > kMinSilence) {
      silent.push_back(address);
    }
  }
  return silent;
}

}  // namespace primroseweir
