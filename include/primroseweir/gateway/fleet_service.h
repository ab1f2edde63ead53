#ifndef PRIMROSEWEIR_GATEWAY_FLEET_SERVICE_H_
#define PRIMROSEWEIR_GATEWAY_FLEET_SERVICE_H_

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/fleet/fleet_table.h"
#include "primroseweir/fleet/peer_loads.h"
#include "primroseweir/gateway/page_server.h"
#include "primroseweir/gateway/stop_detector.h"
#include "primroseweir/loop/timer.h"
#include "primroseweir/loop/udp_socket.h"

namespace primroseweir {

class EventLoop;
struct FleetMessage;
class Gateway;
class HttpClientStream;
class LineLog;
class PublishedCache;

// Exchanges state with the other instances of the fleet: heartbeats, load reports and crash strikes
// by UDP datagram, and the published snapshot over HTTP from a peer with a newer revision, for
// instances that the platform's store does not serve at the moment.
//
// Datagrams are not signed: the deployment provides no shared secret to the instances, and its
// network lets only instances reach these ports.
class FleetService {
 public:
  struct Options {
    FleetMember self;
    // UDP port of the datagrams; the same on all instances.
    std::uint16_t datagram_port = 0;
    // TCP port of the published snapshot; the same on all instances.
    std::uint16_t snapshot_port = 0;
    // IP addresses of the instances to contact first; some of them may no longer exist.
    std::vector<std::string> seeds;
    std::uint64_t random_seed = 0;
  };

  // `gateway`, `cache` and `log` outlive the service. `on_snapshot` is called after each snapshot
  // or change received from a peer, with whether it changed the cache.
  FleetService(EventLoop* loop, const Options& options, Gateway* gateway, PublishedCache* cache,
               LineLog* log, std::function<void(bool changed)> on_snapshot);
  ~FleetService();

  // Binds the datagram port and sends the first heartbeat. Errors: Unavailable if the port can't be
  // bound.
  absl::Status Start();

  void SetSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  void SetLeaving(bool leaving);
  // Begins a planned stop: marks this instance as leaving, so that callers go to others, and leaves
  // reading the store to live peers.
  void SetStopping();
  // Sets whether the platform's store serves this instance, and notifies the peers.
  void SetReadsStore(bool reads);
  // Returns the time until this instance, which has no state yet, should read the whole state from
  // the store; zero means now. Seeds and instances with fast links read at once; the others wait
  // for a peer's snapshot, which is a tenth of the size.
  //
  // Load pattern: hundreds of instances that start at the same moment after a power failure. When
  // all of them read the store, the responses filled its link for half a second.
  Duration TimeUntilFirstRead(Instant now);
  // Returns the time until this instance should query the store again; zero means now.
  Duration TimeUntilRead(Instant now);
  // Whether this instance forwards changes of the store to its peers at once.
  bool IsFirstReader(Instant now) const { return table_.IsFirstReader(now); }
  // Sends this instance's record to its peers at once, after it has changed.
  void NotifyPeers();
  // Sends the peers at once what has changed in the store after revision `before`.
  void NotifyChange(Revision before);

  // Whether a live peer has a newer revision of the published state than this instance.
  bool IsBehind(Instant now);
  // Whether this instance is one of the seeds, which other instances contact first.
  bool is_seed() const { return is_seed_; }
  // Whether a valid datagram of any peer was received since the start.
  bool has_received_from_peer() const { return has_received_from_peer_; }
  // Whether a peer has sent the crash strikes that it knows since the start.
  bool has_known_strikes() const { return has_known_strikes_; }

  // Returns the IP addresses of the instances that callers in data centre `caller` should use.
  std::vector<std::string> AddressesFor(const DataCentre& caller) const;

  // Time for which a peer must have been ahead before its snapshot is fetched. A reader of the
  // store waits longest, since the store's own notification usually arrives within milliseconds.
  // Other instances wait for the change to arrive by datagram, then fetch from a peer of the local
  // data centre, and from a remote one if no local peer has it either.
  static constexpr Duration kReaderSnapshotDelay = std::chrono::milliseconds(300);
  static constexpr Duration kLocalSnapshotDelay = std::chrono::milliseconds(15);
  static constexpr Duration kRemoteSnapshotDelay = std::chrono::milliseconds(150);
  // Time after the start for which an instance leaves reading the store to the seeds; by then it
  // has received the records of the readers. While it knows of no reader, as in a fleet whose seeds
  // are down, it waits longer by a random part of kNoReaderGracePeriod.
  static constexpr Duration kReaderGracePeriod = std::chrono::milliseconds(500);
  static constexpr Duration kNoReaderGracePeriod = std::chrono::milliseconds(3000);
  // Size of the whole state as sent by the store, with some hundred upstreams. Instances wait as
  // long as their links would take to transfer it.
  static constexpr double kPublishedStateKilobytes = 256;
  // Maximum time to wait for the snapshot of a peer before the first read of the store.
  static constexpr Duration kFirstSnapshotTimeout = std::chrono::milliseconds(500);
  // Maximum time after which an instance that waits for its first read checks again.
  static constexpr Duration kFirstReadCheckInterval = std::chrono::milliseconds(5);
  // Maximum time without received bytes while a peer's snapshot is fetched.
  static constexpr Duration kSnapshotIdleTimeout = std::chrono::milliseconds(500);
  // Maximum total time of a snapshot fetch. A large configuration takes seconds when all instances
  // of a data centre fetch it over one link of 10 Mbit/s.
  static constexpr Duration kMaxSnapshotTime = std::chrono::seconds(15);
  static constexpr Duration kLoadReportInterval = std::chrono::milliseconds(50);
  // Number of heartbeats after which the own record is sent to the seeds even when peers are known,
  // so that the parts of a split fleet find each other: a seed introduces its peers to an instance
  // that it did not know. After the start, the seeds are queried with each heartbeat until the
  // readers of the store are known, but for at most kMaxReaderQueryHeartbeats heartbeats.
  static constexpr std::uint64_t kHeartbeatsPerSeedRound = 16;
  static constexpr std::uint64_t kMaxReaderQueryHeartbeats = 12;
  // Time constant of the moving averages of the callers' load.
  static constexpr Duration kLoadAveragingTime = std::chrono::seconds(2);
  // Maximum size of a change that is included in its notification, so that peers need not fetch it.
  // It is bounded since a notification is sent to a whole data centre over one link.
  static constexpr std::size_t kMaxInlineChangeBytes = 4000;
  // Maximum size of such a change once inflated; JSON text of published items deflates to a fifth
  // to a twentieth. Without this bound a forged datagram of 60 KB inflates to 32 MB. Peers fetch a
  // larger change with the next snapshot.
  static constexpr std::size_t kMaxInflatedChangeBytes = 64 * kMaxInlineChangeBytes;
  // Maximum size of the crash strikes in the first message to an instance that started: those of
  // about sixty quarantined requests. It is bounded as kMaxInlineChangeBytes is.
  static constexpr std::size_t kMaxKnownStrikesBytes = 4000;
  // Time after the start from which an instance's own strikes count as known although no peer has
  // sent any. Until then it sends none: after a power failure the instances would take each other's
  // empty lists for those of instances that were not lost.
  static constexpr Duration kStrikesKnownTime = std::chrono::milliseconds(1000);
  // Time after the start by which an instance has heard of enough others to tell whether callers
  // are told to use it.
  static constexpr Duration kServingKnownTime = std::chrono::milliseconds(300);
  // For this long after the start, it is told at each heartbeat, so that it is known when the first
  // call comes: an instance that callers are not told to use gets a far smaller share.
  static constexpr Duration kServingRefreshTime = std::chrono::seconds(5);
  static constexpr char kSnapshotPath[] = "/published";

 private:
  class SnapshotFetch;

  void RunGossipRound();
  void SendLoadReport();
  // Sends the calls of customers with quotas to the instances that may be serving the same
  // customers, and schedules the next report while there is one.
  void SendUsageReport();
  // Recomputes usage_targets_ if the configuration has customers. O(n log n).
  void RefreshUsageTargets(Instant now);
  // Sets how much of the fleet this instance hears, as far as it matters to quotas.
  void UpdateQuotaView(Instant now);
  void AnswerUsage(const std::string& ip, Instant now);
  // Checks whether silent instances have ended, while there are quotas.
  void ProbeSilentPeers(Instant now);
  void RecordStopped(const std::string& ip);
  // Schedules a load report after kLoadReportInterval unless one is already scheduled.
  void ScheduleLoadReport();
  void Receive(const std::string& ip, std::string_view datagram);
  void Send(const std::string& ip, const std::string& datagram);
  // Sends `member`, which was not live before, the records of the store's readers and heartbeats:
  // of all live peers if it is in the local data centre, otherwise those that HeartbeatsFor
  // selects, mainly of its own and of the local data centre.
  void IntroducePeers(const FleetMember& member, Instant now);
  // Adds the crash strikes that this instance knows, if it may have learnt all of them.
  void AddKnownStrikes(FleetMessage* message, Instant now);
  void ReceiveKnownStrikes(const std::string& ip, const std::vector<CrashStrike>& strikes,
                           Instant now);
  // Applies a change that arrived by datagram, and forwards it to the local peers if the sender is
  // in another data centre.
  void ReceiveChange(const FleetMember& sender, const std::string& change, Instant now);
  std::string EncodeOwnState(bool requests_readers = false) const;
  void SendHeartbeats(const std::string& ip, std::vector<FleetHeartbeat> heartbeats, Instant now);
  // Merges the heartbeats of a message and requests missing records from its sender. Forwards
  // heartbeats from another data centre to the local peers.
  void ReceiveHeartbeats(const FleetMessage& message, Instant now);
  // Records that an instance became live, according to a message from `reported_by`. Receive then
  // updates the size of the fleet.
  void RecordLive(const std::string& ip, const std::string& reported_by, Instant now);
  // Sets the calls of the peers at each upstream from their reports, without those that are too
  // old.
  void UpdatePeerCalls(Instant now);
  void ReceiveLoadReport(const std::string& ip, const PeerLoadReport& load, Instant now);
  // Returns the addresses of the instances that callers of the other data centres use.
  std::set<std::string> RemoteCallerSubset(Instant now) const;
  void CatchUpWithPeers(Instant now);
  void RecordLostPeers(Instant now);
  void MeasureLoad(Instant now);

  EventLoop* const loop_;
  const Options options_;
  Gateway* const gateway_;
  PublishedCache* const cache_;
  LineLog* const log_;
  const std::function<void(bool changed)> on_snapshot_;
  const std::function<Instant()> clock_;
  std::vector<std::string> seeds_;
  FleetTable table_;
  PeerLoads loads_;
  UdpSocket socket_;
  std::set<std::string> live_peers_;
  bool is_fleet_size_stale_ = false;
  bool has_received_from_peer_ = false;
  bool has_known_strikes_ = false;
  bool is_stopping_ = false;
  std::uint64_t heartbeat_count_ = 0;
  // Moving averages of calls and response bytes per second, and the counts at the last heartbeat.
  double calls_per_second_ = 0;
  double bytes_per_second_ = 0;
  std::uint64_t measured_calls_ = 0;
  std::uint64_t measured_bytes_ = 0;
  Instant measured_at_;
  bool last_report_had_load_ = false;
  bool load_report_scheduled_ = false;
  bool usage_report_scheduled_ = false;
  // Recomputed after each heartbeat, when empty. The next report begins with next_usage_target_.
  std::vector<std::string> usage_targets_;
  std::size_t next_usage_target_ = 0;
  StopDetector stop_detector_;
  Instant started_at_;
  // Time until which only seeds read the store, if a reader is known and if none is.
  Instant reader_grace_end_;
  Instant no_reader_grace_end_;
  bool is_seed_ = false;
  // IP addresses of the instances that callers of the local data centre use. Computed on demand and
  // cleared at each heartbeat.
  std::vector<std::string> caller_subset_;
  // Those that callers of the other data centres use; filled while a service is short of room.
  std::set<std::string> remote_caller_subset_;
  std::vector<CrashStrike> unsent_strikes_;
  // Time since which a peer has had a newer revision than this instance.
  Instant behind_since_ = Instant::max();
  std::unique_ptr<SnapshotFetch> snapshot_fetch_;
  Timer heartbeat_timer_;
  Timer load_timer_;
  Timer usage_timer_;
  Timer catch_up_timer_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_FLEET_SERVICE_H_
