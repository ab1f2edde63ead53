#include "primroseweir/gateway/fleet_service.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/base/line_log.h"
#include "primroseweir/fleet/fleet_codec.h"
#include "primroseweir/fleet/subset_picker.h"
#include "primroseweir/gateway/gateway.h"
#include "primroseweir/gateway/gateway_metrics.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_client_stream.h"
#include "primroseweir/published/published_cache.h"
#include "primroseweir/published/published_snapshot.h"

namespace primroseweir {
namespace {

constexpr double kPercent = 100;
constexpr double kBytesPerKilobyte = 1000;
constexpr int kOk = 200;

}  // namespace

// Fetches the published snapshot of one peer over HTTP.
class FleetService::SnapshotFetch : public HttpClientCallbacks {
 public:
  SnapshotFetch(FleetService* service, const SocketAddress& peer)
      : service_(service), started_at_(EventLoop::Now()), stream_(service->loop_, peer) {
    RequestHead head;
    head.target = std::string(kSnapshotPath) +
                  "?after=" + std::to_string(service->cache_->revision().value());
    head.fields.Add("Host", peer.ToString());
    stream_.Send(head, std::string(), {}, this);
  }

  // Whether the fetch has ended or exceeded a time limit: kSnapshotIdleTimeout without received
  // bytes, or kMaxSnapshotTime in total, which is longer since many instances may fetch over one
  // slow link.
  bool IsOver(Instant now) const {
    return is_done_ || now - started_at_ > kMaxSnapshotTime ||
           now - std::max(started_at_, stream_.last_received_at()) > kSnapshotIdleTimeout;
  }

  void OnResponse(ResponseHead* head, std::string piece, bool is_complete) override {
    body_ += piece;
    if (body_.size() > kMaxPublishedSnapshotBytes) {
      stream_.Abandon();
      OnFailure(Failure::kOversized);
      return;
    }
    if (!is_complete) {
      return;
    }
    is_done_ = true;
    const auto now = EventLoop::Now();
    const auto snapshot = DecodePublishedSnapshot(body_);
    const bool is_usable = head->status == kOk && snapshot.ok();
    const bool changed = is_usable && service_->cache_->Merge(*snapshot, now);
    service_->log_->Write(
        "peer_copy",
        {{"peer", stream_.address().ip},
         {"revision", is_usable ? std::to_string(snapshot->revision.value()) : "none"},
         {"outcome", changed ? "taken" : "unchanged"}},
        now);
    service_->on_snapshot_(changed);
  }

  void OnFailure(Failure failure) override {
    is_done_ = true;
    body_.clear();
    service_->log_->Write(
        "peer_copy",
        {{"peer", stream_.address().ip}, {"outcome", "failed"}, {"reason", NameOf(failure)}},
        EventLoop::Now());
  }

 private:
  FleetService* const service_;
  const Instant started_at_;
  HttpClientStream stream_;
  std::string body_;
  bool is_done_ = false;
};

FleetService::FleetService(EventLoop* loop, const Options& options, Gateway* gateway,
                           PublishedCache* cache, LineLog* log,
                           std::function<void(bool changed)> on_snapshot)
    : loop_(loop),
      options_(options),
      gateway_(gateway),
      cache_(cache),
      log_(log),
      on_snapshot_(std::move(on_snapshot)),
      clock_(&EventLoop::Now),
      seeds_(options.seeds),
      table_(options.self, options.random_seed),
      socket_(loop),
      stop_detector_(loop, options.snapshot_port,
                     [this](const std::string& ip) { RecordStopped(ip); }),
      heartbeat_timer_(loop, [this] { RunGossipRound(); }),
      load_timer_(loop, [this] { SendLoadReport(); }),
      usage_timer_(loop, [this] { SendUsageReport(); }),
      catch_up_timer_(loop, [this] { CatchUpWithPeers(clock_()); }) {
  gateway_->crash_guard().SetSender([this](const CrashStrike& strike) {
    unsent_strikes_.push_back(strike);
    ScheduleLoadReport();
  });
  gateway_->SetWakeListener([this] {
    ScheduleLoadReport();
    const auto now = clock_();
    if (usage_targets_.empty() && now - started_at_ > kServingKnownTime) {
      RefreshUsageTargets(now);
    }
    // The first report is sent as soon as the call is counted.
    if (gateway_->quota().has_quotas() && !std::exchange(usage_report_scheduled_, true)) {
      usage_timer_.Start(Duration::zero());
    }
  });
}

FleetService::~FleetService() {
  gateway_->crash_guard().SetSender(nullptr);
  gateway_->SetWakeListener([] {});
}

absl::Status FleetService::Start() {
  auto status = socket_.Bind(
      {options_.self.ip, options_.datagram_port},
      [this](const std::string& ip, std::string_view datagram) { Receive(ip, datagram); });
  if (!status.ok()) {
    return status;
  }
  gateway_->quota().SetOwnAddress(AddressBits(table_.self().ip));
  UpdateQuotaView(clock_());
  is_seed_ = std::find(seeds_.begin(), seeds_.end(), table_.self().ip) != seeds_.end();
  started_at_ = clock_();
  reader_grace_end_ = started_at_ + kReaderGracePeriod;
  const auto no_reader_grace =
      std::chrono::duration<double>(kNoReaderGracePeriod) * gateway_->random().UniformUnit();
  no_reader_grace_end_ = reader_grace_end_ + std::chrono::duration_cast<Duration>(no_reader_grace);
  heartbeat_timer_.Repeat(FleetTable::kHeartbeatInterval);
  RunGossipRound();
  return absl::OkStatus();
}

Duration FleetService::TimeUntilFirstRead(Instant now) {
  if (is_seed_) {
    return Duration::zero();
  }
  const double kilobytes_per_second =
      std::max(table_.self().capacity.link_kilobytes_per_second, 1U);
  const auto link_time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kPublishedStateKilobytes / kilobytes_per_second));
  const auto max_wait = table_.MostUpToDatePeer(now) ? kFirstSnapshotTimeout
                                                     : std::min(link_time, kFirstSnapshotTimeout);
  const auto time_left = started_at_ + max_wait - now;
  return time_left <= Duration::zero() ? Duration::zero()
                                       : std::min(time_left, kFirstReadCheckInterval);
}

Duration FleetService::TimeUntilRead(Instant now) {
  if (is_stopping_ && !live_peers_.empty()) {
    return FleetTable::kReadCheckInterval;
  }
  const bool has_reader = table_.StoreReaderRecords(now).size() > 1;
  const auto grace_end = has_reader ? reader_grace_end_ : no_reader_grace_end_;
  if (now >= grace_end) {
    return table_.TimeUntilRead(now);
  }
  return is_seed_ && table_.ShouldReadStore(now) ? Duration::zero()
                                                 : Duration(FleetTable::kReadCheckInterval);
}

void FleetService::SetReadsStore(bool reads) {
  table_.SetReadsStore(reads);
  NotifyPeers();
}

void FleetService::SetLeaving(bool leaving) {
  if (table_.self().leaving != leaving) {
    table_.SetLeaving(leaving);
    NotifyPeers();
  }
}

void FleetService::SetStopping() {
  is_stopping_ = true;
  table_.SetLeaving(true);
  NotifyPeers();
}

// ---- sending ----

void FleetService::RunGossipRound() {
  const auto now = clock_();
  table_.AdvanceHeartbeat(now);
  table_.SetPublishedRevision(cache_->revision());
  RecordLostPeers(now);
  MeasureLoad(now);
  gateway_->balancer().SetFleetSize(table_.PeakSize(now));
  ProbeSilentPeers(now);
  UpdateQuotaView(now);
  const auto targets = table_.PickGossipTargets(heartbeat_count_, now);
  std::set<std::string> own_record_only(targets.own_record_only.begin(),
                                        targets.own_record_only.end());
  const bool requests_readers = heartbeat_count_ < kMaxReaderQueryHeartbeats &&
                                (table_.StoreReaderRecords(now).size() <= 1 || !has_known_strikes_);
  if (live_peers_.empty() || requests_readers || heartbeat_count_ % kHeartbeatsPerSeedRound == 0) {
    own_record_only.insert(seeds_.begin(), seeds_.end());
  }
  ++heartbeat_count_;
  const auto own_state = EncodeOwnState(requests_readers);
  for (const auto& ip : own_record_only) {
    Send(ip, own_state);
  }
  for (const auto& [ip, data_centre] : targets.heartbeats) {
    SendHeartbeats(ip, table_.HeartbeatsFor(data_centre, now), now);
  }
  caller_subset_.clear();
  UpdatePeerCalls(now);
  usage_targets_.clear();
  remote_caller_subset_.clear();
  if (now - started_at_ > kServingKnownTime && now - started_at_ < kServingRefreshTime) {
    RefreshUsageTargets(now);
  }
  CatchUpWithPeers(now);
}

void FleetService::MeasureLoad(Instant now) {
  const double seconds = std::chrono::duration<double>(now - measured_at_).count();
  if (measured_at_ != Instant() && seconds > 0) {
    const double weight =
        1 - std::exp(-seconds / std::chrono::duration<double>(kLoadAveragingTime).count());
    const auto calls = static_cast<double>(gateway_->calls_received() - measured_calls_);
    const auto bytes = static_cast<double>(gateway_->response_bytes() - measured_bytes_);
    calls_per_second_ += (calls / seconds - calls_per_second_) * weight;
    bytes_per_second_ += (bytes / seconds - bytes_per_second_) * weight;
  }
  measured_at_ = now;
  measured_calls_ = gateway_->calls_received();
  measured_bytes_ = gateway_->response_bytes();
  table_.SetLoad(static_cast<std::uint32_t>(calls_per_second_),
                 static_cast<std::uint32_t>(bytes_per_second_ / kBytesPerKilobyte));
}

void FleetService::NotifyPeers() {
  const auto now = clock_();
  table_.AdvanceHeartbeat(now);
  table_.SetPublishedRevision(cache_->revision());
  const auto datagram = EncodeOwnState();
  for (const auto& ip : table_.ChangeTargets(now)) {
    Send(ip, datagram);
  }
}

void FleetService::NotifyChange(Revision before) {
  const auto now = clock_();
  table_.AdvanceHeartbeat(now);
  table_.SetPublishedRevision(cache_->revision());
  FleetMessage message;
  message.members = {table_.self()};
  message.change =
      EncodePublishedSnapshot(cache_->SnapshotAfter(before, now), kMaxInflatedChangeBytes);
  if (message.change.size() > kMaxInlineChangeBytes) {
    message.change.clear();
  }
  const auto datagram = EncodeFleetMessage(message);
  for (const auto& ip : table_.ChangeTargets(now)) {
    Send(ip, datagram);
  }
}

std::string FleetService::EncodeOwnState(bool requests_readers) const {
  FleetMessage message;
  message.requests_readers = requests_readers;
  message.members = {table_.self()};
  return EncodeFleetMessage(message);
}

void FleetService::SendHeartbeats(const std::string& ip, std::vector<FleetHeartbeat> heartbeats,
                                  Instant now) {
  FleetMessage message;
  message.members = table_.OwnRecords(now);
  message.heartbeats = std::move(heartbeats);
  Send(ip, EncodeFleetMessage(message));
}

void FleetService::IntroducePeers(const FleetMember& member, Instant now) {
  FleetMessage message;
  message.members = table_.StoreReaderRecords(now);
  message.heartbeats = table_.IsLocal(member) ? table_.AllHeartbeats(now)
                                              : table_.HeartbeatsFor(member.data_centre, now);
  AddKnownStrikes(&message, now);
  Send(member.ip, EncodeFleetMessage(message));
}

void FleetService::AddKnownStrikes(FleetMessage* message, Instant now) {
  if (has_known_strikes_ || now - started_at_ > kStrikesKnownTime) {
    message->known_strikes = gateway_->crash_guard().StrikesForStart(kMaxKnownStrikesBytes, now);
  }
}

// Sends the load report to the instances that callers of the local data centre use, since those
// share its upstreams, and while a service is short of room to those of all data centres. A report
// with crash strikes is sent to all live peers.
void FleetService::SendLoadReport() {
  const auto now = clock_();
  load_report_scheduled_ = false;
  // Peers that are cut off send no last report without load.
  UpdatePeerCalls(now);
  gateway_->balancer().MeasurePressure(now);
  if (gateway_->quota().is_reporting() && !std::exchange(usage_report_scheduled_, true)) {
    usage_timer_.Start(Duration::zero());
  }
  FleetMessage message;
  for (const auto& [id, upstream] : gateway_->balancer().upstreams()) {
    const auto age = now - upstream->reported_at();
    const bool reported = age < kLoadReportInterval;
    if (upstream->in_flight() == 0 && !reported) {
      continue;
    }
    PeerUpstreamLoad upstream_load;
    upstream_load.upstream = upstream->hash();
    upstream_load.in_flight = upstream->in_flight();
    if (reported) {
      upstream_load.slowdown_percent =
          static_cast<std::uint32_t>(upstream->reported_slowdown() * kPercent);
      upstream_load.age_ms = static_cast<std::uint32_t>(ToMilliseconds(age));
    }
    message.load.upstream_loads.push_back(upstream_load);
  }
  message.load.strikes = std::exchange(unsent_strikes_, {});
  const bool has_load = !message.load.upstream_loads.empty() || !message.load.strikes.empty();
  if (gateway_->calls() > 0 || has_load) {
    ScheduleLoadReport();
  }
  if (!has_load && !last_report_had_load_) {
    return;
  }
  last_report_had_load_ = has_load;
  message.members = {table_.self()};
  const auto datagram = EncodeFleetMessage(message);
  std::set<std::string> targets;
  if (!message.load.strikes.empty()) {
    targets = live_peers_;
  } else {
    if (caller_subset_.empty()) {
      caller_subset_ = AddressesFor(table_.self().data_centre);
    }
    targets.insert(caller_subset_.begin(), caller_subset_.end());
    if (gateway_->balancer().ShouldTellOtherDataCentres()) {
      if (remote_caller_subset_.empty()) {
        remote_caller_subset_ = RemoteCallerSubset(now);
      }
      targets.insert(remote_caller_subset_.begin(), remote_caller_subset_.end());
    }
  }
  targets.erase(table_.self().ip);
  for (const auto& ip : targets) {
    Send(ip, datagram);
  }
}

void FleetService::ScheduleLoadReport() {
  if (!std::exchange(load_report_scheduled_, true)) {
    load_timer_.Start(kLoadReportInterval);
  }
}

void FleetService::Send(const std::string& ip, const std::string& datagram) {
  if (ip != table_.self().ip) {
    socket_.Send({ip, options_.datagram_port}, datagram);
  }
}

// ---- maintenance ----

// Fetches the snapshot of the most up-to-date peer, once the change has had time to arrive by
// notification.
void FleetService::CatchUpWithPeers(Instant now) {
  table_.SetPublishedRevision(cache_->revision());
  const auto peer = table_.MostUpToDatePeer(now);
  if (!peer) {
    behind_since_ = Instant::max();
    return;
  }
  behind_since_ = std::min(behind_since_, now);
  const Duration delay = table_.self().reads_store ? kReaderSnapshotDelay
                         : table_.IsLocal(*peer)   ? Duration(kLocalSnapshotDelay)
                                                   : Duration(kRemoteSnapshotDelay);
  if (now - behind_since_ < delay) {
    catch_up_timer_.Start(delay - (now - behind_since_));
    return;
  }
  if (snapshot_fetch_ == nullptr || snapshot_fetch_->IsOver(now)) {
    snapshot_fetch_ =
        std::make_unique<SnapshotFetch>(this, SocketAddress{peer->ip, options_.snapshot_port});
  }
}

void FleetService::RecordLostPeers(Instant now) {
  for (auto it = live_peers_.begin(); it != live_peers_.end();) {
    if (table_.IsLivePeer(*it, now)) {
      ++it;
      continue;
    }
    log_->Write("peer_silent", {{"peer", *it}}, now);
    it = live_peers_.erase(it);
  }
}

// ---- view ----

bool FleetService::IsBehind(Instant now) {
  table_.SetPublishedRevision(cache_->revision());
  return table_.MostUpToDatePeer(now).has_value();
}

std::set<std::string> FleetService::RemoteCallerSubset(Instant now) const {
  std::set<DataCentre> data_centres;
  for (const auto& peer : table_.LivePeers(now)) {
    if (!table_.IsLocal(peer)) {
      data_centres.insert(peer.data_centre);
    }
  }
  std::set<std::string> subset;
  for (const auto& data_centre : data_centres) {
    const auto addresses = AddressesFor(data_centre);
    subset.insert(addresses.begin(), addresses.end());
  }
  return subset;
}

std::vector<std::string> FleetService::AddressesFor(const DataCentre& caller) const {
  auto fleet = table_.LivePeers(clock_());
  fleet.push_back(table_.self());
  return SubsetPicker::Pick(fleet, caller);
}

}  // namespace primroseweir
