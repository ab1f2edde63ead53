#include "primroseweir/fleet/fleet_table.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {
namespace {

// The load to state, given the one stated before.
std::uint32_t StatedLoad(std::uint32_t stated, std::uint32_t actual) {
  const double change = std::abs(static_cast<double>(actual) - stated);
  const bool same = change <= FleetTable::kLoadStep * std::max(stated, FleetTable::kSmallLoad);
  return same ? stated : actual;
}

bool Newer(const FleetMember& a, const FleetMember& b) {
  return std::make_pair(a.incarnation, a.beat) > std::make_pair(b.incarnation, b.beat);
}

}  // namespace

FleetTable::FleetTable(const FleetMember& self, std::uint64_t seed) : self_(self), random_(seed) {}

// ---- own state ----

void FleetTable::Beat(Instant now) {
  ++self_.beat;
  first_beat_ = std::min(first_beat_, now);
  near_ = static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [this, now](const auto& entry) {
        return Live(entry.second, now) && Near(entry.second.member);
      }));
  for (auto it = peers_.begin(); it != peers_.end();) {
    it = now - it->second.heard > kForget ? peers_.erase(it) : std::next(it);
  }
  for (auto it = asked_.begin(); it != asked_.end();) {
    it = now - it->second > kWantAgain ? asked_.erase(it) : std::next(it);
  }
}

void FleetTable::SetLoad(std::uint32_t calls, std::uint32_t kilobytes) {
  auto& capacity = self_.capacity;
  capacity.calls = StatedLoad(capacity.calls, calls);
  capacity.kilobytes = StatedLoad(capacity.kilobytes, kilobytes);
}

// ---- exchange ----

bool FleetTable::Live(const Known& known, Instant now) const {
  const Duration silence = !Near(known.member) ? kFarSilence
                           : near_ <= kDirect  ? kNearSilence
                                               : kToldSilence;
  return now - known.heard < silence;
}

FleetTable::Known FleetTable::KnownOf(const FleetMember& member, Instant now) {
  return {member, now, AddressBits(member.ip), StateTag(member)};
}

FleetBeat FleetTable::BeatOf(const Known& known) {
  return {known.address, known.tag, static_cast<std::uint16_t>(known.member.beat)};
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
    peers_[member.ip] = KnownOf(member, now);
    return true;
  }
  auto& known = found->second;
  if (!Newer(member, known.member)) {
    return false;
  }
  // A process that restarted within its silence knows nothing of what it was told before.
  const bool same_life = Live(known, now) && known.member.incarnation == member.incarnation;
  known = KnownOf(member, now);
  return !same_life;
}

std::optional<FleetMember> FleetTable::EarlierLife(const FleetMember& sender) const {
  const auto found = peers_.find(sender.ip);
  if (found == peers_.end() || found->second.member.incarnation <= sender.incarnation) {
    return std::nullopt;
  }
  return found->second.member;
}

std::vector<FleetMember> FleetTable::OwnStatements(Instant now) const {
  std::vector<FleetMember> statements{self_};
  if (const auto ahead = MostAdvanced(now)) {
    statements.push_back(*ahead);
  }
  return statements;
}

std::vector<FleetBeat> FleetTable::BeatsFor(const DataCentre& receiver, Instant now) const {
  std::vector<FleetBeat> beats;
  std::map<DataCentre, std::size_t> introduced;
  for (const auto& [ip, known] : peers_) {
    const auto& data_centre = known.member.data_centre;
    const bool whole = data_centre == self_.data_centre || data_centre == receiver;
    if (Live(known, now) && (whole || introduced[data_centre]++ < kIntroduced)) {
      beats.push_back(BeatOf(known));
    }
  }
  return beats;
}

std::vector<FleetBeat> FleetTable::AllBeats(Instant now) const {
  std::vector<FleetBeat> beats;
  for (const auto& [ip, known] : peers_) {
    if (Live(known, now)) {
      beats.push_back(BeatOf(known));
    }
  }
  return beats;
}

bool FleetTable::TakePassOn(const DataCentre& from, Instant now) {
  const auto [last, first] = passed_on_.try_emplace(from, now);
  if (!first && now - last->second < kPassOnPause) {
    return false;
  }
  last->second = now;
  return true;
}

std::vector<FleetBeat> FleetTable::BeatsToPassOn(const std::vector<FleetBeat>& beats) const {
  std::vector<FleetBeat> passed;
  std::copy_if(beats.begin(), beats.end(), std::back_inserter(passed), [this](const auto& beat) {
    const auto ip = AddressText(beat.address);
    const auto found = peers_.find(ip);
    const bool near = found != peers_.end() && Near(found->second.member);
    return !near && ip != self_.ip;
  });
  return passed;
}

bool FleetTable::TakeQuestion(const std::string& ip, Instant now) {
  const auto [asked, first] = asked_.try_emplace(ip, now);
  if (!first && now - asked->second < kWantAgain) {
    return false;
  }
  asked->second = now;
  return true;
}

FleetTable::Heard FleetTable::TakeBeats(const std::vector<FleetBeat>& beats, Instant now) {
  Heard heard;
  for (const auto& beat : beats) {
    const auto ip = AddressText(beat.address);
    if (ip == self_.ip) {
      continue;
    }
    const auto found = peers_.find(ip);
    const bool same = found != peers_.end() && found->second.tag == beat.tag;
    const auto later = same ? BeatsBetween(found->second.member.beat, beat.beat) : 0;
    if (!same || later < kEarlierLife) {
      if (heard.wanted.size() < kMostWanted && TakeQuestion(ip, now)) {
        heard.wanted.push_back(ip);
      }
    } else if (later > 0) {
      if (!Live(found->second, now)) {
        heard.revived.push_back(ip);
      }
      found->second.member.beat += static_cast<std::uint64_t>(later);
      found->second.heard = now;
    }
  }
  return heard;
}

std::vector<FleetMember> FleetTable::StatementsOf(const std::vector<std::string>& ips,
                                                  Instant now) const {
  std::vector<FleetMember> statements{self_};
  for (const auto& ip : ips) {
    const auto found = peers_.find(ip);
    if (found != peers_.end() && Live(found->second, now)) {
      statements.push_back(found->second.member);
    }
  }
  return statements;
}

std::vector<FleetMember> FleetTable::ReaderStatements(Instant now) const {
  std::vector<FleetMember> statements{self_};
  for (const auto& [ip, known] : peers_) {
    if (known.member.reads_store && Live(known, now)) {
      statements.push_back(known.member);
    }
  }
  return statements;
}

FleetTable::Targets FleetTable::TargetsOf(std::uint64_t beats, Instant now) {
  std::vector<std::string> near;
  std::map<DataCentre, std::vector<std::string>> far;
  std::vector<std::string> silent;
  for (const auto& [ip, known] : peers_) {
    if (!Live(known, now)) {
      silent.push_back(ip);
    } else if (Near(known.member)) {
      near.push_back(ip);
    } else {
      far[known.member.data_centre].push_back(ip);
    }
  }
  Targets targets;
  if (near.size() <= kDirect) {
    targets.brief = std::move(near);
  } else if (beats % 2 == 0) {
    KeepRecent(&near, now);
    while (targets.beats.size() < kTold) {
      targets.beats.emplace_back(Pick(&near), self_.data_centre);
    }
  }
  const auto rank = Rank(now);
  const auto turn = rank * kBeatsPerFar / kFarSpeakers;
  if (rank >= kFarSpeakers || (beats + turn) % kBeatsPerFar != 0) {
    return targets;
  }
  for (auto& [data_centre, ips] : far) {
    KeepRecent(&ips, now);
    targets.beats.emplace_back(Pick(&ips), data_centre);
  }
  if (!silent.empty()) {
    const auto ip = Pick(&silent);
    targets.beats.emplace_back(ip, peers_.at(ip).member.data_centre);
  }
  return targets;
}

// Drops those that were not heard of for a while, unless too few are left: after the loss of most
// of a data centre they would get most of the messages until they count as silent.
void FleetTable::KeepRecent(std::vector<std::string>* ips, Instant now) const {
  const auto recent = std::partition(ips->begin(), ips->end(), [&](const std::string& ip) {
    return now - peers_.at(ip).heard < kRecent;
  });
  if (recent - ips->begin() >= static_cast<std::ptrdiff_t>(kTold)) {
    ips->erase(recent, ips->end());
  }
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

std::vector<std::string> FleetTable::NearPeers(Instant now) const {
  std::vector<std::string> ips;
  for (const auto& [ip, known] : peers_) {
    if (Near(known.member) && Live(known, now)) {
      ips.push_back(ip);
    }
  }
  return ips;
}

std::vector<std::string> FleetTable::NewsTargets(Instant now) const {
  auto ips = NearPeers(now);
  std::map<DataCentre, std::vector<const FleetMember*>> far;
  for (const auto& [ip, known] : peers_) {
    if (!Near(known.member) && Live(known, now)) {
      far[known.member.data_centre].push_back(&known.member);
    }
  }
  for (auto& [data_centre, members] : far) {
    const auto count = std::min(kRelays, members.size());
    // Those with the best links: they pass the news on to all the others.
    std::partial_sort(
        members.begin(), members.begin() + static_cast<std::ptrdiff_t>(count), members.end(),
        [](const FleetMember* a, const FleetMember* b) { return ReaderRank(*a) < ReaderRank(*b); });
    for (std::size_t i = 0; i < count; ++i) {
      ips.push_back(members[i]->ip);
    }
  }
  return ips;
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
