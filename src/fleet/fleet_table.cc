#include "primroseweir/fleet/fleet_table.h"

#include <algorithm>
#include <utility>

namespace primroseweir {
namespace {

bool Newer(const FleetMember& a, const FleetMember& b) {
  return std::make_pair(a.incarnation, a.beat) > std::make_pair(b.incarnation, b.beat);
}

}  // namespace

FleetTable::FleetTable(const FleetMember& self, std::uint64_t seed)
    : self_(self), random_(seed) {}

// ---- own state ----

void FleetTable::Beat(Instant now) {
  ++self_.beat;
  for (auto it = peers_.begin(); it != peers_.end();) {
    it = now - it->second.heard > kForget ? peers_.erase(it) : std::next(it);
  }
}

// ---- exchange ----

bool FleetTable::Merge(const FleetMember& member, Instant now) {
  if (member.ip == self_.ip) {
    if (member.incarnation >= self_.incarnation && Newer(member, self_)) {
      self_.incarnation = member.incarnation.Next();
    }
    return false;
  }
  const auto found = peers_.find(member.ip);
  if (found == peers_.end()) {
    peers_[member.ip] = {member, now};
    return true;
  }
  auto& known = found->second;
  if (!Newer(member, known.member)) {
    return false;
  }
  const bool was_live = Live(known, now);
  known = {member, now};
  return !was_live;
}

std::vector<FleetMember> FleetTable::Statements(Instant now) const {
  std::vector<FleetMember> statements{self_};
  for (const auto& [ip, known] : peers_) {
    if (Live(known, now)) {
      statements.push_back(known.member);
    }
  }
  return statements;
}

std::vector<std::string> FleetTable::Targets(Instant now) {
  std::vector<std::string> live;
  std::vector<std::string> silent;
  for (const auto& [ip, known] : peers_) {
    (Live(known, now) ? live : silent).push_back(ip);
  }
  std::vector<std::string> targets;
  while (!live.empty() && targets.size() < kFanout) {
    const auto pick = random_.Below(live.size());
    targets.push_back(live[pick]);
    live[pick] = live.back();
    live.pop_back();
  }
  if (!silent.empty()) {
    targets.push_back(silent[random_.Below(silent.size())]);
  }
  return targets;
}

// ---- view ----

std::vector<FleetMember> FleetTable::LivePeers(Instant now) const {
  std::vector<FleetMember> live;
  for (const auto& [ip, known] : peers_) {
    if (Live(known, now)) {
      live.push_back(known.member);
    }
  }
  return live;
}

std::size_t FleetTable::PeakSize(Instant now) const {
  if (peers_.empty()) {
    return kUnknownFleet;
  }
  const auto recent = std::count_if(peers_.begin(), peers_.end(), [now](const auto& entry) {
    return now - entry.second.heard < kPeakMemory;
  });
  return static_cast<std::size_t>(recent) + 1;
}

}  // namespace primroseweir
