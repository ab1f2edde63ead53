#include "primroseweir/gateway/fleet_service.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/base/line_log.h"
#include "primroseweir/fleet/address_choice.h"
#include "primroseweir/fleet/fleet_codec.h"
#include "primroseweir/gateway/gateway.h"
#include "primroseweir/gateway/gateway_metrics.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_client_stream.h"
#include "primroseweir/published/published_cache.h"
#include "primroseweir/published/published_copy.h"

namespace primroseweir {
namespace {

constexpr double kPercent = 100;
constexpr double kBytesPerKilobyte = 1000;
constexpr int kOk = 200;

}  // namespace

// One fetch of a peer's copy.
class FleetService::Copy : public HttpClientListener {
 public:
  Copy(FleetService* service, const SocketAddress& peer)
      : service_(service), started_(EventLoop::Now()), stream_(service->loop_, peer) {
    RequestHead head;
    head.target =
        std::string(kCopyPath) + "?after=" + std::to_string(service->cache_->at().value());
    head.fields.Add("Host", peer.ToString());
    stream_.Send(head, std::string(), {}, this);
  }

  // Whether it ended, or has brought nothing for a while: many may copy over one slow link.
  bool over(Instant now) const {
    return done_ || now - started_ > kLongestCopy ||
           now - std::max(started_, stream_.heard_at()) > kCopyTimeout;
  }

  void OnAnswer(ResponseHead* head, std::string piece, bool whole) override {
    text_ += piece;
    if (text_.size() > kLargestPublishedCopy) {
      stream_.Abandon();
      OnFailure(Failure::kOversized);
      return;
    }
    if (!whole) {
      return;
    }
    done_ = true;
    const auto now = EventLoop::Now();
    const auto copy = DecodePublishedCopy(text_);
    const bool usable = head->status == kOk && copy.ok();
    const bool changed = usable && service_->cache_->Take(*copy, now);
    service_->log_->Write("peer_copy",
                          {{"peer", stream_.address().ip},
                           {"revision", usable ? std::to_string(copy->at.value()) : "none"},
                           {"outcome", changed ? "taken" : "unchanged"}},
                          now);
    service_->on_copy_(changed);
  }

  void OnFailure(Failure failure) override {
    done_ = true;
    text_.clear();
    service_->log_->Write(
        "peer_copy",
        {{"peer", stream_.address().ip}, {"outcome", "failed"}, {"reason", NameOf(failure)}},
        EventLoop::Now());
  }

 private:
  FleetService* const service_;
  const Instant started_;
  HttpClientStream stream_;
  std::string text_;
  bool done_ = false;
};

FleetService::FleetService(EventLoop* loop, const Options& options, Gateway* gateway,
                           PublishedCache* cache, LineLog* log,
                           std::function<void(bool changed)> on_copy)
    : loop_(loop),
      options_(options),
      gateway_(gateway),
      cache_(cache),
      log_(log),
      on_copy_(std::move(on_copy)),
      now_(&EventLoop::Now),
      seeds_(options.seeds),
      table_(options.self, options.seed),
      socket_(loop),
      beat_timer_(loop, [this] { Beat(); }),
      load_timer_(loop, [this] { SendLoad(); }),
      follow_timer_(loop, [this] { FollowPeers(now_()); }) {
  gateway_->crash_guard().SetSender([this](const CrashStrike& strike) {
    strikes_.push_back(strike);
    PlanLoad();
  });
  gateway_->SetWakeListener([this] { PlanLoad(); });
}

FleetService::~FleetService() {
  gateway_->crash_guard().SetSender(nullptr);
  gateway_->SetWakeListener([] {});
}

absl::Status FleetService::Start() {
  auto status =
      socket_.Bind({options_.self.ip, options_.datagram_port},
                   [this](const std::string& ip, std::string_view data) { Receive(ip, data); });
  if (!status.ok()) {
    return status;
  }
  is_seed_ = std::find(seeds_.begin(), seeds_.end(), table_.self().ip) != seeds_.end();
  started_ = now_();
  reader_grace_end_ = started_ + kReaderGrace;
  const auto unheard = std::chrono::duration<double>(kUnheardGrace) * gateway_->random().Unit();
  unheard_grace_end_ = reader_grace_end_ + std::chrono::duration_cast<Duration>(unheard);
  beat_timer_.Repeat(FleetTable::kBeatInterval);
  Beat();
  return absl::OkStatus();
}

Duration FleetService::UntilFirstRead(Instant now) {
  if (is_seed_) {
    return Duration::zero();
  }
  const double kilobytes_per_second = std::max(table_.self().capacity.link_kilobytes, 1U);
  const auto link_time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kStateKilobytes / kilobytes_per_second));
  const auto wait = table_.MostAdvanced(now) ? kFirstCopyTime : std::min(link_time, kFirstCopyTime);
  const auto left = started_ + wait - now;
  return left <= Duration::zero() ? Duration::zero() : std::min(left, kFirstReadStep);
}

Duration FleetService::UntilRead(Instant now) {
  if (stopping_ && !live_.empty()) {
    return FleetTable::kAskAgain;
  }
  const bool heard = table_.ReaderStatements(now).size() > 1;
  const auto grace_end = heard ? reader_grace_end_ : unheard_grace_end_;
  if (now >= grace_end) {
    return table_.UntilRead(now);
  }
  return is_seed_ && table_.ShouldReadStore(now) ? Duration::zero()
                                                 : Duration(FleetTable::kAskAgain);
}

void FleetService::SetReadsStore(bool reads) {
  table_.SetReadsStore(reads);
  Announce();
}

void FleetService::SetLeaving(bool leaving) {
  if (table_.self().leaving != leaving) {
    table_.SetLeaving(leaving);
    Announce();
  }
}

void FleetService::SetStopping() {
  stopping_ = true;
  table_.SetLeaving(true);
  Announce();
}

// ---- sending ----

void FleetService::Beat() {
  const auto now = now_();
  table_.Beat(now);
  table_.SetPublished(cache_->at());
  NoteLost(now);
  MeasureLoad(now);
  gateway_->book().SetFleetSize(table_.PeakSize(now));
  const auto targets = table_.TargetsOf(beats_, now);
  std::set<std::string> brief(targets.brief.begin(), targets.brief.end());
  const bool asks = beats_ < kAskingBeats && table_.ReaderStatements(now).size() <= 1;
  if (live_.empty() || asks || beats_ % kBeatsPerSeedRound == 0) {
    brief.insert(seeds_.begin(), seeds_.end());
  }
  ++beats_;
  const auto own_state = OwnState(asks);
  for (const auto& ip : brief) {
    Send(ip, own_state);
  }
  for (const auto& [ip, data_centre] : targets.beats) {
    SendBeats(ip, table_.BeatsFor(data_centre, now), now);
  }
  callers_use_.clear();
  FollowPeers(now);
}

void FleetService::MeasureLoad(Instant now) {
  const double seconds = std::chrono::duration<double>(now - measured_).count();
  if (measured_ != Instant() && seconds > 0) {
    const double weight =
        1 - std::exp(-seconds / std::chrono::duration<double>(kLoadMemory).count());
    const auto calls = static_cast<double>(gateway_->calls_taken() - calls_counted_);
    const auto bytes = static_cast<double>(gateway_->answer_bytes() - bytes_counted_);
    calls_rate_ += (calls / seconds - calls_rate_) * weight;
    bytes_rate_ += (bytes / seconds - bytes_rate_) * weight;
  }
  measured_ = now;
  calls_counted_ = gateway_->calls_taken();
  bytes_counted_ = gateway_->answer_bytes();
  table_.SetLoad(static_cast<std::uint32_t>(calls_rate_),
                 static_cast<std::uint32_t>(bytes_rate_ / kBytesPerKilobyte));
}

void FleetService::Announce() {
  const auto now = now_();
  table_.Beat(now);
  table_.SetPublished(cache_->at());
  const auto data = OwnState();
  for (const auto& ip : table_.NewsTargets(now)) {
    Send(ip, data);
  }
}

void FleetService::AnnounceChange(Revision before) {
  const auto now = now_();
  table_.Beat(now);
  table_.SetPublished(cache_->at());
  FleetMessage message;
  message.members = {table_.self()};
  message.change = EncodePublishedCopy(cache_->CopyAfter(before, now));
  if (message.change.size() > kLargestChange) {
    message.change.clear();
  }
  const auto data = EncodeFleetMessage(message);
  for (const auto& ip : table_.NewsTargets(now)) {
    Send(ip, data);
  }
}

std::string FleetService::OwnState(bool asks) const {
  FleetMessage message;
  message.asks = asks;
  message.members = {table_.self()};
  return EncodeFleetMessage(message);
}

void FleetService::SendBeats(const std::string& ip, std::vector<FleetBeat> beats, Instant now) {
  FleetMessage message;
  message.members = table_.OwnStatements(now);
  message.beats = std::move(beats);
  Send(ip, EncodeFleetMessage(message));
}

void FleetService::Greet(const FleetMember& member, Instant now) {
  FleetMessage message;
  message.members = table_.ReaderStatements(now);
  message.beats =
      table_.Near(member) ? table_.AllBeats(now) : table_.BeatsFor(member.data_centre, now);
  Send(member.ip, EncodeFleetMessage(message));
}

// Calls in flight go to the instances of the data centre that callers use: those share its
// upstreams. Crash strikes go to all.
void FleetService::SendLoad() {
  const auto now = now_();
  load_planned_ = false;
  FleetMessage message;
  for (const auto& [id, upstream] : gateway_->book().all()) {
    const auto age = now - upstream->reported_at();
    const bool reported = age < kLoadInterval;
    if (upstream->in_flight() == 0 && !reported) {
      continue;
    }
    UpstreamUse use;
    use.upstream = upstream->hash();
    use.in_flight = upstream->in_flight();
    if (reported) {
      use.slowdown_percent = static_cast<std::uint32_t>(upstream->reported_slowdown() * kPercent);
      use.age_ms = static_cast<std::uint32_t>(ToMilliseconds(age));
    }
    message.load.uses.push_back(use);
  }
  message.load.strikes = std::exchange(strikes_, {});
  const bool has_load = !message.load.uses.empty() || !message.load.strikes.empty();
  if (gateway_->calls() > 0 || has_load) {
    PlanLoad();
  }
  if (!has_load && !had_load_) {
    return;
  }
  had_load_ = has_load;
  message.members = {table_.self()};
  const auto data = EncodeFleetMessage(message);
  std::set<std::string> targets;
  if (!message.load.strikes.empty()) {
    targets = live_;
  } else {
    if (callers_use_.empty()) {
      callers_use_ = AddressesFor(table_.self().data_centre);
    }
    targets.insert(callers_use_.begin(), callers_use_.end());
  }
  targets.erase(table_.self().ip);
  for (const auto& ip : targets) {
    Send(ip, data);
  }
}

void FleetService::PlanLoad() {
  if (!std::exchange(load_planned_, true)) {
    load_timer_.Start(kLoadInterval);
  }
}

void FleetService::Send(const std::string& ip, const std::string& data) {
  if (ip != table_.self().ip) {
    socket_.Send({ip, options_.datagram_port}, data);
  }
}

// ---- upkeep ----

// Fetches what a peer knows beyond this instance, once the time for another notice has passed.
void FleetService::FollowPeers(Instant now) {
  table_.SetPublished(cache_->at());
  const auto peer = table_.MostAdvanced(now);
  if (!peer) {
    behind_since_ = Instant::max();
    return;
  }
  behind_since_ = std::min(behind_since_, now);
  const Duration delay = table_.self().reads_store ? kReaderCopyDelay
                         : table_.Near(*peer)      ? Duration(kNearCopyDelay)
                                                   : Duration(kFarCopyDelay);
  if (now - behind_since_ < delay) {
    follow_timer_.Start(delay - (now - behind_since_));
    return;
  }
  if (copy_ == nullptr || copy_->over(now)) {
    copy_ = std::make_unique<Copy>(this, SocketAddress{peer->ip, options_.copy_port});
  }
}

void FleetService::NoteLost(Instant now) {
  for (auto it = live_.begin(); it != live_.end();) {
    if (table_.LivePeer(*it, now)) {
      ++it;
      continue;
    }
    log_->Write("peer_silent", {{"peer", *it}}, now);
    it = live_.erase(it);
  }
}

// ---- view ----

bool FleetService::Behind(Instant now) {
  table_.SetPublished(cache_->at());
  return table_.MostAdvanced(now).has_value();
}

std::vector<std::string> FleetService::AddressesFor(const DataCentre& caller) const {
  auto fleet = table_.LivePeers(now_());
  fleet.push_back(table_.self());
  return AddressChoice::Choose(fleet, caller);
}

}  // namespace primroseweir
