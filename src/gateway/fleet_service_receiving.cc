// What other instances tell: heartbeats, statements, changes of the published state and loads.
#include <chrono>
#include <unordered_map>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/base/line_log.h"
#include "primroseweir/fleet/fleet_codec.h"
#include "primroseweir/gateway/fleet_service.h"
#include "primroseweir/gateway/gateway.h"
#include "primroseweir/gateway/gateway_metrics.h"
#include "primroseweir/published/published_cache.h"
#include "primroseweir/published/published_copy.h"

namespace primroseweir {
namespace {

constexpr double kPercent = 100;

}  // namespace

void FleetService::Receive(const std::string& ip, std::string_view data) {
  const auto now = now_();
  const auto message = DecodeFleetMessage(data);
  if (!message.ok() || message->members.front().ip != ip) {
    gateway_->metrics().Count("peer_message_rejected");
    return;
  }
  if (const auto earlier = table_.EarlierLife(message->members.front())) {
    FleetMessage reply;
    reply.members = {table_.self(), *earlier};
    Send(ip, EncodeFleetMessage(reply));
  }
  heard_ = true;
  if (message->asks) {
    FleetMessage reply;
    reply.members = table_.ReaderStatements(now);
    Send(ip, EncodeFleetMessage(reply));
  }
  if (!message->wanted.empty()) {
    FleetMessage reply;
    reply.members = table_.StatementsOf(message->wanted, now);
    Send(ip, EncodeFleetMessage(reply));
  }
  for (const auto& member : message->members) {
    if (table_.Merge(member, now)) {
      if (member.ip == ip) {
        Greet(member, now);
      }
      NoteLive(member.ip, ip, now);
    }
  }
  if (!message->beats.empty()) {
    TakeBeats(*message, now);
  }
  TakeLoad(ip, message->load, now);
  if (!message->change.empty()) {
    TakeChange(message->members.front(), message->change, now);
  }
  FollowPeers(now);
}

void FleetService::TakeBeats(const FleetMessage& message, Instant now) {
  const auto& sender = message.members.front();
  const auto& ip = sender.ip;
  const auto heard = table_.TakeBeats(message.beats, now);
  for (const auto& revived : heard.revived) {
    NoteLive(revived, ip, now);
  }
  if (!heard.wanted.empty()) {
    FleetMessage question;
    question.members = {table_.self()};
    question.wanted = heard.wanted;
    Send(ip, EncodeFleetMessage(question));
  }
  if (message.passed_on && message.members.size() > 1) {
    table_.NotePassedOn(message.members[1].data_centre, now);
  }
  if (table_.Near(sender) || !table_.TakePassOn(sender.data_centre, now)) {
    return;
  }
  FleetMessage passed;
  passed.passed_on = true;
  passed.members = {table_.self(), sender};
  passed.beats = table_.BeatsToPassOn(message.beats);
  const auto data = EncodeFleetMessage(passed);
  for (const auto& near : table_.NearPeers(now)) {
    Send(near, data);
  }
}

void FleetService::NoteLive(const std::string& ip, const std::string& told_by, Instant now) {
  live_.insert(ip);
  log_->Write("peer_live", {{"peer", ip}, {"told_by", told_by}}, now);
  gateway_->book().SetFleetSize(table_.PeakSize(now));
}

void FleetService::TakeLoad(const std::string& ip, const LoadDigest& load, Instant now) {
  if (load.uses.empty() && load.strikes.empty() && !had_load_) {
    return;
  }
  if (!load.strikes.empty()) {
    gateway_->crash_guard().Merge(load.strikes, now);
  }
  loads_.Take(ip, load.uses, now);
  const auto sums = loads_.Sums(now);
  std::unordered_map<std::uint64_t, const UpstreamUse*> uses;
  for (const auto& use : load.uses) {
    uses[use.upstream] = &use;
  }
  for (const auto& [id, upstream] : gateway_->book().all()) {
    const auto hash = upstream->hash();
    const auto sum = sums.find(hash);
    upstream->SetPeerInFlight(sum == sums.end() ? 0 : sum->second);
    const auto use = uses.find(hash);
    if (use != uses.end() && use->second->age_ms != 0) {
      upstream->NotePeerSlowdown(use->second->slowdown_percent / kPercent,
                                 now - std::chrono::milliseconds(use->second->age_ms));
    }
  }
}

void FleetService::TakeChange(const FleetMember& sender, const std::string& change, Instant now) {
  if (sender.published <= cache_->at()) {
    return;
  }
  const auto copy = DecodePublishedCopy(change);
  if (!copy.ok()) {
    log_->Write("peer_change", {{"peer", sender.ip}, {"outcome", MessageOf(copy.status())}}, now);
    return;
  }
  if (copy->after > cache_->at()) {
    // Something before it was missed: it is fetched with what was missed.
    return;
  }
  const bool changed = cache_->Take(*copy, now);
  log_->Write("peer_change",
              {{"peer", sender.ip},
               {"revision", std::to_string(copy->at.value())},
               {"outcome", changed ? "taken" : "unchanged"}},
              now);
  on_copy_(changed);
  if (table_.Near(sender)) {
    return;
  }
  table_.SetPublished(cache_->at());
  FleetMessage message;
  message.members = {table_.self()};
  message.change = change;
  const auto data = EncodeFleetMessage(message);
  for (const auto& ip : table_.NearPeers(now)) {
    Send(ip, data);
  }
}

}  // namespace primroseweir
