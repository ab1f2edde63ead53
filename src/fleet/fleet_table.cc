#include "primroseweir/fleet/fleet_table.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {
namespace {

bool Newer(const FleetMember& a, const FleetMember& b) {
  return std::make_pair(a.incarnation, a.beat) > std::make_pair(b.incarnation, b.beat);
}

}  // namespace

FleetTable::FleetTable(const FleetMember& self, std::uint64_t seed) : self_(self), random_(seed) {}

// ---- own state ----

void FleetTable::Beat(Instant now) {
  ++self_.beat;
  near_ = static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [this, now](const auto& entry) {
        return Live(entry.second, now) && Near(entry.second.member);
      }));
  for (auto it = peers_.begin(); it != peers_.end();) {
    it = now - it->second.heard > kForget ? peers_.erase(it) : std::next(it);
  }
}

// ---- exchange ----

bool FleetTable::Live(const Known& known, Instant now) const {
  const bool direct = Near(known.member) && near_ <= kDirect;
  return now - known.heard < (direct ? kNearSilence : kFarSilence);
}

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

std::optional<FleetMember> FleetTable::EarlierLife(const FleetMember& sender) const {
  const auto found = peers_.find(sender.ip);
  if (found == peers_.end() || found->second.member.incarnation <= sender.incarnation) {
    return std::nullopt;
  }
  return found->second.member;
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

FleetTable::Targets FleetTable::TargetsOf(std::uint64_t beats, Instant now) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  std::vector<std::string> silent;
  for (const auto& [ip, known] : peers_) {
    auto& group = !Live(known, now) ? silent : Near(known.member) ? near : far;
    group.push_back(ip);
  }
  // All instances of a data centre know the same, so that a few speak for it elsewhere.
  const bool far_round = beats % kBeatsPerFar == 0 && Rank(now) < kFarSpeakers;
  Targets targets;
  if (near.size() <= kDirect) {
    if (!near.empty()) {
      targets.full.push_back(Pick(&near));
    }
    targets.brief = std::move(near);
  } else if (beats % 2 == 0) {
    while (targets.full.size() < kFullNear) {
      targets.full.push_back(Pick(&near));
    }
  }
  if (far_round && !far.empty()) {
    targets.full.push_back(Pick(&far));
  }
  if (far_round && !silent.empty()) {
    targets.full.push_back(Pick(&silent));
  }
  return targets;
}

// Place of this instance among the live ones of its data centre.
std::size_t FleetTable::Rank(Instant now) const {
  const auto own = StableHash(self_.ip);
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [this, own, now](const auto& entry) {
        const auto& [ip, known] = entry;
        return Live(known, now) && Near(known.member) && StableHash(ip) < own;
      }));
}

// Takes one at random.
std::string FleetTable::Pick(std::vector<std::string>* ips) {
  const auto position = random_.Below(ips->size());
  std::swap((*ips)[position], ips->back());
  auto ip = std::move(ips->back());
  ips->pop_back();
  return ip;
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

bool FleetTable::LivePeer(const std::string& ip, Instant now) const {
  const auto found = peers_.find(ip);
  return found != peers_.end() && Live(found->second, now);
}

std::optional<FleetMember> FleetTable::MostAdvanced(Instant now) const {
  std::optional<FleetMember> best;
  for (const auto& [ip, known] : peers_) {
    const auto& member = known.member;
    if (!Live(known, now) || member.published <= self_.published) {
      continue;
    }
    // Equal ones share the load of those that follow.
    const auto rank = [this](const FleetMember& m) {
      return std::make_tuple(m.published, Near(m), StableHash(self_.ip + m.ip));
    };
    if (!best || rank(member) > rank(*best)) {
      best = member;
    }
  }
  return best;
}

std::size_t FleetTable::ReadingBefore(Instant now) const {
  const auto own = StableHash(self_.data_centre.value());
  std::set<DataCentre> reading;
  for (const auto& [ip, known] : peers_) {
    const auto& member = known.member;
    if (member.reads_store && !member.leaving && Live(known, now) &&
        StableHash(member.data_centre.value()) < own) {
      reading.insert(member.data_centre);
    }
  }
  return reading.size();
}

bool FleetTable::ShouldReadStore(Instant now) const {
  // Those that follow copy from the reader over its link.
  const auto rank = [](const FleetMember& member) {
    return std::make_pair(-static_cast<std::int64_t>(member.capacity.link_kilobytes),
                          StableHash(member.ip));
  };
  if (ReadingBefore(now) >= kReadingDataCentres) {
    return false;
  }
  const auto own = rank(self_);
  return std::none_of(peers_.begin(), peers_.end(), [this, &rank, &own, now](const auto& entry) {
    const auto& member = entry.second.member;
    return Live(entry.second, now) && Near(member) && member.reads_store && !member.leaving &&
           rank(member) < own;
  });
}

bool FleetTable::TakesReadersTurn(Instant now) {
  const auto instances = static_cast<double>(near_ + 1);
  return ShouldReadStore(now) && (self_.reads_store || random_.Unit() * instances < 1);
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
