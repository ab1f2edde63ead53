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
#include "primroseweir/loop/timer.h"
#include "primroseweir/loop/udp_socket.h"

namespace primroseweir {

class EventLoop;
struct FleetMessage;
class Gateway;
class HttpClientStream;
class LineLog;
class PublishedCache;

// The exchange between the instances: heartbeats, calls in flight and crash strikes by datagram,
// and the published copy over HTTP from a peer that knows more than this instance, for instances
// that the platform does not serve at the moment.
//
// Datagrams are not signed: the deployment hands the instances no secret, and its network admits
// only them to these ports.
class FleetService {
 public:
  struct Options {
    FleetMember self;
    // Port of the datagrams, the same on all instances.
    std::uint16_t datagram_port = 0;
    // Port and path of the published copy, the same on all instances.
    std::uint16_t snapshot_port = 0;
    // Instances to ask first; they may be gone.
    std::vector<std::string> seeds;
    std::uint64_t seed = 0;
  };

  // `gateway`, `cache` and `log` outlive the service. `on_snapshot` is called after each
  // copy of a peer, with whether it changed the cache.
  FleetService(EventLoop* loop, const Options& options, Gateway* gateway, PublishedCache* cache,
               LineLog* log, std::function<void(bool changed)> on_snapshot);
  ~FleetService();

  // Errors: Unavailable, a port can't be bound.
  absl::Status Start();

  void SetSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  void SetLeaving(bool leaving);
  // A planned stop began: takes no callers, and leaves the store to the others.
  void SetStopping();
  // Whether the platform's store serves this instance.
  void SetReadsStore(bool reads);
  // Time until this instance, which knows nothing yet, is to read the whole state from the store,
  // zero for now. Seeds and instances with fast links read at once; the others wait for a peer's
  // copy, which is a tenth of the size.
  //
  // Load pattern: hundreds of instances that start at the same moment, after a loss of power. When
  // all of them read, the answers filled the store's link for half a second.
  Duration TimeUntilFirstRead(Instant now);
  // Time until this instance is to ask the store, zero for now.
  Duration TimeUntilRead(Instant now);
  // Whether this instance passes on the store's changes at once.
  bool IsFirstReader(Instant now) const { return table_.IsFirstReader(now); }
  // Tells the peers at once, after a change of the own state.
  void NotifyPeers();
  // Tells the peers at once what the store changed after `before`.
  void NotifyChange(Revision before);

  // Whether a live peer knows more of the published state than this instance.
  bool IsBehind(Instant now);
  // Whether other instances ask this one first.
  bool is_seed() const { return is_seed_; }
  // Whether any peer was heard since the start.
  bool has_heard_peer() const { return has_heard_peer_; }

  // IP addresses of the instances that a caller from that data centre should use.
  std::vector<std::string> AddressesFor(const DataCentre& caller) const;

  // A reader of the store asks a peer that was ahead this long: usually the store's own notice
  // arrives within milliseconds. Others ask a peer of their data centre when the change has not
  // come by datagram, and one elsewhere when nobody near has it either.
  static constexpr Duration kReaderSnapshotDelay = std::chrono::milliseconds(300);
  static constexpr Duration kLocalSnapshotDelay = std::chrono::milliseconds(15);
  static constexpr Duration kRemoteSnapshotDelay = std::chrono::milliseconds(150);
  // An instance that has just started leaves the store to the seeds for this long: by then it has
  // heard who reads it. While it has heard of no reader, as in a fleet whose seeds are down, it
  // waits up to kNoReaderGracePeriod longer, at random.
  static constexpr Duration kReaderGracePeriod = std::chrono::milliseconds(500);
  static constexpr Duration kNoReaderGracePeriod = std::chrono::milliseconds(3000);
  // Size of the whole state on its way from the store, with some hundred upstreams: instances wait
  // as long as their links would take for it.
  static constexpr double kStateKilobytes = 256;
  // Longest wait for the copy of a peer that knows the state.
  static constexpr Duration kFirstSnapshotTimeout = std::chrono::milliseconds(500);
  // Time after which an instance that waits looks again.
  static constexpr Duration kFirstReadCheckInterval = std::chrono::milliseconds(5);
  // Longest pause of a peer that is asked for its copy.
  static constexpr Duration kSnapshotIdleTimeout = std::chrono::milliseconds(500);
  // Longest time of a copy, whatever its pauses: a large configuration takes seconds when a data
  // centre copies it over one link of 10 Mbit/s.
  static constexpr Duration kMaxSnapshotTime = std::chrono::seconds(15);
  static constexpr Duration kLoadInterval = std::chrono::milliseconds(50);
  // Seeds hear the own state this often even when peers are known, so that parts of a split fleet
  // meet: a seed greets whom it did not know. After a start they are asked with each beat until
  // they tell who reads the store, but not for longer than kMaxReaderQueryHeartbeats.
  static constexpr std::uint64_t kHeartbeatsPerSeedRound = 16;
  static constexpr std::uint64_t kMaxReaderQueryHeartbeats = 12;
  // Time over which the callers' load is averaged.
  static constexpr Duration kLoadAveragingTime = std::chrono::seconds(2);
  // Changes up to this size travel with the notice of them, so that the others need not fetch them:
  // it is sent to a whole data centre over one link.
  static constexpr std::size_t kMaxInlineChangeBytes = 4000;
  static constexpr char kSnapshotPath[] = "/published";

 private:
  class SnapshotFetch;

  void AdvanceHeartbeat();
  void SendLoadReport();
  // Sends the load soon, unless that is planned already.
  void ScheduleLoadReport();
  void Receive(const std::string& ip, std::string_view data);
  void Send(const std::string& ip, const std::string& data);
  // Tells an instance that was not live before of the readers of the store, of the fleet when it is
  // of the own data centre, and else of that instance's and the own data centre.
  void IntroducePeers(const FleetMember& member, Instant now);
  // Takes a change that came with a datagram, and passes it on when it came from elsewhere.
  void ReceiveChange(const FleetMember& sender, const std::string& change, Instant now);
  std::string EncodeOwnState(bool requests_readers = false) const;
  void SendHeartbeats(const std::string& ip, std::vector<FleetHeartbeat> heartbeats, Instant now);
  // Takes the heartbeats of a message and asks its sender for the statements that are not known
  // here. Passes heartbeats of another data centre on to the own one.
  void ReceiveHeartbeats(const FleetMessage& message, Instant now);
  // An instance was heard of that did not count as live.
  void RecordLive(const std::string& ip, const std::string& reported_by, Instant now);
  void ReceiveLoadReport(const std::string& ip, const PeerLoadReport& load, Instant now);
  void CatchUpWithPeers(Instant now);
  void RecordLostPeers(Instant now);
  void MeasureLoad(Instant now);

  EventLoop* const loop_;
  const Options options_;
  Gateway* const gateway_;
  PublishedCache* const cache_;
  LineLog* const log_;
  const std::function<void(bool changed)> on_snapshot_;
  const std::function<Instant()> now_;
  std::vector<std::string> seeds_;
  FleetTable table_;
  PeerLoads loads_;
  UdpSocket socket_;
  std::set<std::string> live_;
  bool has_heard_peer_ = false;
  bool stopping_ = false;
  std::uint64_t heartbeat_count_ = 0;
  // Running averages of calls and bytes of answers a second, and the counts at the last beat.
  double calls_rate_ = 0;
  double bytes_rate_ = 0;
  std::uint64_t calls_counted_ = 0;
  std::uint64_t bytes_counted_ = 0;
  Instant measured_;
  bool had_load_ = false;
  bool load_report_scheduled_ = false;
  Instant started_;
  // Until when only seeds are to read the store, with and without a peer that was heard.
  Instant reader_grace_end_;
  Instant no_reader_grace_end_;
  bool is_seed_ = false;
  // Instances that callers of the own data centre use, as of the last beat.
  std::vector<std::string> caller_subset_;
  std::vector<CrashStrike> strikes_;
  // Since when a peer has been ahead of this instance.
  Instant behind_since_ = Instant::max();
  std::unique_ptr<SnapshotFetch> snapshot_fetch_;
  Timer heartbeat_timer_;
  Timer load_timer_;
  Timer catch_up_timer_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_FLEET_SERVICE_H_
