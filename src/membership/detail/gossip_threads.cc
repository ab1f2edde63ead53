#include "primroseweir/membership/detail/gossip_threads.h"

#include <algorithm>
#include <map>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/base/event_log.h"
#include "primroseweir/peer/gossip_codec.h"
#include "primroseweir/peer/usage_datagram.h"

namespace primroseweir {
namespace detail {
namespace {

// With port 0, the UDP port that the system chooses may be in use on TCP; then another one is
// tried.
constexpr int kBindAttempts = 20;
// Seeds queried at start. More than one, since a seed may be down or have an old revision.
constexpr std::size_t kMaxSeedQueries = 3;
// Datagrams read before the gossip thread serves pending requests and the next gossip round.
constexpr int kMaxDatagramsPerPass = 2'000;
// Minimum time between datagram_refused events, so that a flood of bad datagrams doesn't fill the
// log.
constexpr Duration kRefusedEventInterval = std::chrono::seconds(1);
// Time between attempts to send urgent datagrams that wait for the send budget.
constexpr Duration kUrgentRetryInterval = std::chrono::milliseconds(10);

std::shared_ptr<const MembershipView> ViewOfSelf(const Member& self) {
  auto view = std::make_shared<MembershipView>();
  view->members.push_back(self);
  return view;
}

using MembersByKey = std::map<std::pair<InstanceId, Incarnation>, const Member*>;

MembersByKey IndexByKey(const MembershipView& view) {
  MembersByKey index;
  for (const Member& member : view.members) index[{member.id, member.incarnation}] = &member;
  return index;
}

}  // namespace

GossipThreads::GossipThreads(GossipSettings settings, GossipHooks hooks, EventLog* events)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      events_(events),
      signer_(settings_.fleet_key),
      client_(&signer_, settings_.snapshot_timeout),
      fetcher_(&hooks_, &client_, events, [this] { NotifyPendingRefreshes(); }),
      view_(ViewOfSelf(settings_.self)),
      rng_(EntropySeed()) {}

GossipThreads::~GossipThreads() { Stop(false); }

// ---- start and stop ----

absl::Status GossipThreads::BindOnce() {
  auto transport = UdpTransport::Bind(settings_.self.peer_address);
  if (!transport.ok()) return transport.status();
  SnapshotServer::Providers providers;
  providers.configuration = [this](Revision after) {
    return hooks_.configuration_values ? hooks_.configuration_values(after) : ConfigurationValues();
  };
  providers.observations = [this] {
    return hooks_.all_observations ? hooks_.all_observations() : std::vector<UpstreamObservation>();
  };
  server_ = std::make_unique<SnapshotServer>(std::move(providers), &signer_);
  absl::Status status = server_->Start((*transport)->local_address());
  if (status.ok()) transport_ = std::move(*transport);
  return status;
}

absl::Status GossipThreads::Bind() {
  absl::Status status = BindOnce();
  if (settings_.self.peer_address.port != 0) return status;
  for (int attempt = 1; !status.ok() && attempt < kBindAttempts; ++attempt) status = BindOnce();
  return status;
}

absl::Status GossipThreads::Start() {
  absl::Status status = Bind();
  if (!status.ok()) return status;
  settings_.self.peer_address = transport_->local_address();
  transport_->SetSendFilter(settings_.send_filter);
  node_ = std::make_unique<GossipNode>(settings_, &hooks_, &signer_, MonotonicNow());
  QuerySeeds();
  fetcher_.Start();
  next_tick_ = MonotonicNow();
  running_ = true;
  thread_ = std::thread([this] { Run(); });
  return absl::OkStatus();
}

void GossipThreads::QuerySeed(const SocketAddress& seed) {
  if (settings_.send_filter && !settings_.send_filter(seed)) return;
  if (!fetcher_.Fetch(seed, LocalConfigurationState().revision)) return;
  const auto observations = client_.FetchObservations(seed);
  if (!observations.ok()) return;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    node_->RecordSnapshot(*observations);
  }
  if (hooks_.merge_observations) hooks_.merge_observations(*observations, MonotonicNow());
}

void GossipThreads::QuerySeeds() {
  std::vector<SocketAddress> list = settings_.seeds;
  list.erase(std::remove(list.begin(), list.end(), settings_.self.peer_address), list.end());
  for (std::size_t i = list.size(); i > 1; --i) std::swap(list[i - 1], list[rng_.UniformBelow(i)]);
  list.resize(std::min(list.size(), kMaxSeedQueries));
  std::vector<std::thread> threads;
  threads.reserve(list.size());
  for (const SocketAddress& seed : list) threads.emplace_back([this, seed] { QuerySeed(seed); });
  for (std::thread& thread : threads) thread.join();
}

void GossipThreads::Stop(bool send_leave) {
  if (!running_.exchange(false)) return;
  send_leave_ = send_leave;
  stopping_ = true;
  transport_->Wake();
  thread_.join();
  fetcher_.Stop();
  server_->Stop();
  NotifyPendingRefreshes();
}

void GossipThreads::SendLeaveMessages() {
  node_->table().DeclareStopped();
  node_->QueueUrgent({}, MonotonicNow());
  Send(node_->UrgentDatagrams(HybridNow(), MonotonicNow()));
}

// ---- requests of other threads ----

void GossipThreads::SendUrgent(UrgentItems items) {
  if (!running_) return;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    pending_requests_.urgent = true;
    UrgentItems& queued = pending_requests_.items;
    queued.observations.insert(queued.observations.end(), items.observations.begin(),
                               items.observations.end());
    queued.strikes.insert(queued.strikes.end(), items.strikes.begin(), items.strikes.end());
  }
  transport_->Wake();
}

void GossipThreads::DeclareLeaving() {
  if (!running_) return;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    pending_requests_.leaving = true;
  }
  transport_->Wake();
}

absl::StatusOr<Revision> GossipThreads::RefreshNow(Duration timeout) {
  const ErrorOrigin origin{"refresh configuration", ""};
  if (!running_) return MakeError(absl::StatusCode::kUnavailable, origin, "gossip is not running");
  const Instant deadline = MonotonicNow() + timeout;
  std::unique_lock<std::mutex> lock(mutex_);
  std::uint64_t query_id = 0;
  while (query_id == 0 || pending_refreshes_.count(query_id) != 0) query_id = EntropySeed();
  PendingRefresh& refresh = pending_refreshes_[query_id];
  pending_requests_.query_ids.push_back(query_id);
  transport_->Wake();
  refresh_changed_.wait_until(lock, deadline, [this, &refresh] {
    return !running_ ||
           (refresh.has_response && LocalConfigurationState().revision >= refresh.revision);
  });
  const PendingRefresh result = refresh;
  pending_refreshes_.erase(query_id);
  if (result.has_response) return result.revision;
  return MakeError(absl::StatusCode::kDeadlineExceeded, origin, "no peer responded in time");
}

void GossipThreads::NotifyPendingRefreshes() {
  // Notifies with the lock held, so that a RefreshNow thread can't miss the notification between
  // its check and its wait.
  const std::lock_guard<std::mutex> lock(mutex_);
  refresh_changed_.notify_all();
}

void GossipThreads::ProcessPendingRequests(Instant now) {
  PendingRequests requests;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::swap(requests, pending_requests_);
  }
  if (requests.leaving) node_->table().DeclareLeaving();
  if (requests.leaving || requests.urgent) node_->QueueUrgent(requests.items, now);
  if (requests.leaving) PublishView(now);
  for (const std::uint64_t query_id : requests.query_ids) {
    Send(node_->QueryDatagrams(query_id, HybridNow(), now));
  }
}

// ---- the gossip thread ----

void GossipThreads::Run() {
  while (!stopping_) {
    transport_->Wait(WaitTime(MonotonicNow()));
    ReceiveDatagrams(MonotonicNow());
    ProcessPendingRequests(MonotonicNow());
    TickWhenDue(MonotonicNow());
    SendQueuedUrgent(MonotonicNow());
    ReportUsageWhenDue(MonotonicNow());
  }
  if (send_leave_) SendLeaveMessages();
}

Duration GossipThreads::WaitTime(Instant now) const {
  const Duration until_tick = std::max<Duration>(Duration::zero(), next_tick_ - now);
  const Duration until_due =
      ReportsUsage() ? std::min(until_tick, std::max<Duration>(Duration::zero(), next_usage_ - now))
                     : until_tick;
  return node_->has_urgent() ? std::min(until_due, kUrgentRetryInterval) : until_due;
}

void GossipThreads::ReceiveDatagrams(Instant now) {
  for (int i = 0; i < kMaxDatagramsPerPass; ++i) {
    const auto datagram = transport_->Receive();
    if (!datagram) return;
    ReceiveDatagram(*datagram, now);
  }
}

void GossipThreads::ReceiveDatagram(const Datagram& datagram, Instant now) {
  ++datagrams_received_;
  bytes_received_ += datagram.bytes.size();
  if (IsUsageDatagram(datagram.bytes)) {
    ReceiveUsage(datagram, now);
    return;
  }
  auto message = DecodeGossip(datagram.bytes, datagram.from.ToString(), signer_);
  if (!message.ok()) {
    RecordRefusedDatagram(message.status(), now);
    return;
  }
  // Ignores datagrams that this instance sent itself: they carry no new information.
  if (message->header.sender == settings_.self.id &&
      message->header.incarnation == settings_.self.incarnation) {
    return;
  }
  const HybridTime received_at =
      events_->clock().Observe(message->header.sent_at, WallMicroseconds());
  ReceiveConfigurationState(*message, datagram.waited, now);
  if (message->header.query_id != 0) Send(node_->Respond(*message, HybridNow(), now));
  RecordResponse(message->header);
  if (node_->Receive(std::move(*message), datagram.waited, received_at, now)) PublishView(now);
}

void GossipThreads::ReceiveUsage(const Datagram& datagram, Instant now) {
  const auto message = DecodeUsage(datagram.bytes, datagram.from.ToString(), signer_);
  if (!message.ok()) {
    RecordRefusedDatagram(message.status(), now);
    return;
  }
  if (hooks_.merge_usage && message->sender != settings_.self.id) {
    hooks_.merge_usage(message->sender, message->incarnation, message->usage, now);
  }
}

void GossipThreads::ReceiveConfigurationState(const GossipMessage& message, Duration waited,
                                              Instant now) {
  const ConfigurationState& remote_state = message.header.configuration;
  const SocketAddress& peer = message.members.front().member.peer_address;
  if (hooks_.record_contact) hooks_.record_contact(remote_state.revision, now - waited);
  if (settings_.send_filter && !settings_.send_filter(peer)) return;
  fetcher_.ReceiveState(peer, remote_state, LocalConfigurationState(), now);
}

void GossipThreads::RecordResponse(const GossipHeader& header) {
  if (header.response_to == 0) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto refresh = pending_refreshes_.find(header.response_to);
  if (refresh == pending_refreshes_.end()) return;
  refresh->second.has_response = true;
  refresh->second.revision = std::max(refresh->second.revision, header.configuration.revision);
  refresh_changed_.notify_all();
}

void GossipThreads::RecordRefusedDatagram(const absl::Status& status, Instant now) {
  ++datagrams_refused_;
  if (now < next_refused_event_) return;
  next_refused_event_ = now + kRefusedEventInterval;
  const ErrorOrigin origin = OriginOf(status);
  events_->Emit("datagram_refused", {{"step", origin.step},
                                     {"peer", origin.peer},
                                     {"reason", MessageOf(status)},
                                     {"refused", std::to_string(datagrams_refused_)}});
}

void GossipThreads::TickWhenDue(Instant now) {
  if (now < next_tick_) return;
  next_tick_ = std::max(next_tick_ + settings_.period, now);
  bool changed = false;
  Send(node_->Tick(HybridNow(), now, &changed));
  if (changed) PublishView(now);
}

bool GossipThreads::ReportsUsage() const { return hooks_.has_quotas && hooks_.has_quotas(); }

void GossipThreads::ReportUsageWhenDue(Instant now) {
  if (!ReportsUsage() || now < next_usage_) return;
  next_usage_ = std::max(next_usage_ + GossipNode::kUsageReportInterval, now);
  Send(node_->UsageDatagrams(now));
}

void GossipThreads::SendQueuedUrgent(Instant now) {
  if (node_->has_urgent()) Send(node_->UrgentDatagrams(HybridNow(), now));
}

void GossipThreads::Send(const std::vector<OutgoingDatagram>& datagrams) {
  for (const OutgoingDatagram& datagram : datagrams) {
    if (!transport_->Send(datagram.to, datagram.bytes)) continue;
    ++datagrams_sent_;
    bytes_sent_ += datagram.bytes.size();
  }
}

// ---- publishing the view ----

void GossipThreads::PublishView(Instant now) {
  const auto before = view_.Load();
  auto after = std::make_shared<const MembershipView>(node_->table().View());
  EmitChanges(*before, *after);
  view_.Store(after);
  if (hooks_.membership_changed) hooks_.membership_changed(after, now);
}

void GossipThreads::EmitChanges(const MembershipView& before, const MembershipView& after) {
  const MembersByKey members_before = IndexByKey(before);
  for (const Member& member : after.members) {
    const auto found = members_before.find({member.id, member.incarnation});
    const bool was_known = found != members_before.end();
    if (was_known && found->second->state == member.state) continue;
    events_->Emit("member_changed",
                  {{"member", member.id.value()},
                   {"incarnation", std::to_string(member.incarnation.value())},
                   {"seat", std::to_string(member.seat.value())},
                   {"from", was_known ? MemberStateName(found->second->state) : "unknown"},
                   {"to", MemberStateName(member.state)}});
  }
  if (before.is_seat_taken == after.is_seat_taken) return;
  events_->Emit(after.is_seat_taken ? "seat_taken" : "seat_free",
                {{"seat", std::to_string(settings_.self.seat.value())}});
}

// ---- helpers ----

ConfigurationState GossipThreads::LocalConfigurationState() const {
  return hooks_.configuration_state ? hooks_.configuration_state() : ConfigurationState();
}

HybridTime GossipThreads::HybridNow() { return events_->clock().Tick(WallMicroseconds()); }

SocketAddress GossipThreads::local_address() const { return settings_.self.peer_address; }

GossipController::Traffic GossipThreads::traffic() const {
  GossipController::Traffic traffic;
  traffic.datagrams_sent = datagrams_sent_;
  traffic.bytes_sent = bytes_sent_;
  traffic.datagrams_received = datagrams_received_;
  traffic.bytes_received = bytes_received_;
  traffic.datagrams_refused = datagrams_refused_;
  return traffic;
}

}  // namespace detail
}  // namespace primroseweir
