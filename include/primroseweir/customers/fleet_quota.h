#ifndef PRIMROSEWEIR_CUSTOMERS_FLEET_QUOTA_H_
#define PRIMROSEWEIR_CUSTOMERS_FLEET_QUOTA_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/customers/customer_usage.h"

namespace primroseweir {

struct Customer;
class CustomerTable;

// One instance's part of the customers' quotas, which hold for all instances together.
//
// Each instance keeps a token bucket per active customer, from which it takes its own calls and
// those that the other active instances report. Within the delay of the reports an instance uses at
// most its share of a bucket. While some of the recently active instances are silent, it refills
// its buckets only in proportion to those that it hears: the silent ones may be serving the rest.
//
// Peers are identified by their IPv4 addresses.
//
// Load pattern: tens of customers whose callers use a few instances of each data centre, and
// sometimes all of hundreds. Memory and work follow the active customers and instances.
class FleetQuota {
 public:
  struct Decision {
    bool admitted = true;
    // Time after which this request will be admitted; zero if it was.
    Duration retry_after = Duration::zero();
  };

  explicit FleetQuota(std::uint64_t seed) : seed_(seed) {}

  // Sets this instance's own IPv4 address, which peers include in their reports.
  void SetOwnAddress(std::uint32_t address) { own_address_ = address; }

  // Applies the quotas of a configuration; null if it has no customers. Customers that it doesn't
  // name are forgotten.
  void Apply(const CustomerTable* customers, Instant now);
  // Sets the highest number of instances that may be running, at least 1.
  void SetPeakFleetSize(std::size_t instances) { peak_fleet_size_ = instances; }
  // Sets the number of live instances that callers are told to use, and whether this is one of
  // them. Others only have calls of callers that know old addresses.
  void SetServingInstances(std::size_t instances, bool includes_self) {
    serving_instances_ = static_cast<double>(instances);
    is_serving_ = includes_self;
  }

  // Sets how many of the instances that may be running this one hears, by their heartbeats; both
  // numbers include this instance. An instance that has not heard any other since its start passes
  // 1 and a number that is not below the size of the fleet. Until the first call, no limit follows
  // from this.
  void SetFleetView(std::size_t live, std::size_t possible) {
    possible_instances_ = static_cast<double>(std::max(live, possible));
    live_share_ = static_cast<double>(live) / possible_instances_;
  }
  // Records the instances that receive this one's first reports and answer them. One that does not
  // answer within kMinSilence counts as silent: this instance may have been cut off before its
  // first call, when nobody sent it reports.
  void ExpectAnswers(const std::vector<std::uint32_t>& peers, Instant now);

  // Acquires permission for one call. A customer without a quota is always admitted. `request`
  // identifies the request, so that a caller that returns when it was told to finds the call that
  // was reserved for it.
  Decision TryAcquire(const Customer& customer, std::uint64_t request, Instant now);
  // Returns the permission for a call that was not sent to an upstream.
  void Refund(const Customer& customer, Instant now);

  // Returns the report to send to the other active instances now; none if this instance has had no
  // call of a customer with a quota for kActivePeriod and has reported that.
  std::optional<UsageReport> UsageToReport(Instant now);
  // Takes the calls that a peer reports from the buckets. Linear in the report.
  void MergeUsage(std::uint32_t peer, Incarnation incarnation, const UsageReport& usage,
                  Instant now);
  // Returns the report that answers one of `peer` at once; none if the peer was answered within
  // kMinAnswerInterval, or has been reporting for longer than kAnsweredPeriod, and receives regular
  // reports if this instance has calls.
  std::optional<UsageReport> AnswerTo(std::uint32_t peer, Instant now);
  // Records that an instance runs with that incarnation: an earlier run of it admits no more calls.
  void RecordRun(std::uint32_t peer, Incarnation incarnation);
  // Records that an instance has ended, so that it admits no more calls until it reports again.
  void RecordStopped(std::uint32_t peer);
  // Returns the active instances that are silent: they may have ended, or may be cut off and
  // serving calls.
  std::vector<std::uint32_t> SilentPeers(Instant now) const;
  // Returns the other instances that may be admitting calls of customers with quotas; those of
  // which the last report is older than kActivePeriod are left out.
  std::vector<std::uint32_t> ActivePeers(Instant now) const;

  // Whether UsageToReport would return a report.
  bool is_reporting() const { return is_reporting_; }
  // Whether any customer has a quota.
  bool has_quotas() const { return !limits_.empty(); }
  // Number of customers with state, for tests and metrics.
  std::size_t active_customers() const { return states_.size(); }
  // Share of the quotas that this instance may use at the moment, from 0 to 1.
  double usable_share(Instant now);

  // Share of the quotas that all parts of a divided fleet may use together. The operators accept a
  // quarter above a quota.
  static constexpr double kDividedFleetShare = 1.2;
  // Interval at which reports to remote data centres are sent, and delay within which calls that
  // were admitted here are certainly known to the active instances if no report is lost.
  static constexpr Duration kReportDelay = std::chrono::milliseconds(150);
  // An active instance without a report for this time counts as silent: four reports in a row were
  // lost, or it was stopped.
  static constexpr Duration kMinSilence = std::chrono::milliseconds(500);
  // An instance reports for this long after its last call of a customer with a quota, so that an
  // instance without calls is told from one that is cut off.
  static constexpr Duration kActivePeriod = std::chrono::seconds(5);
  // Time to learn of most of the active instances, for each pair of instances: 2.6 s in a fleet of
  // 300 in which all become active at once. Shorter values let 300 instances pass twice the quota.
  static constexpr double kDiscoverySeconds = 1.0 / 34000;
  // The reports of a peer are answered for this long after its first one; three answers may be
  // lost.
  static constexpr Duration kAnsweredPeriod = std::chrono::milliseconds(400);
  // Half of kReportInterval, so that each report of a peer is answered, but not each answer of one
  // that also answers this instance: two instances that start together would send without pause.
  static constexpr Duration kMinAnswerInterval = std::chrono::milliseconds(50);
  // A silent instance counts as possibly admitting calls for this long.
  static constexpr Duration kSilentPeerRetention = std::chrono::seconds(60);
  // Least time after the start in which an instance takes all others to be active: it has not heard
  // their reports yet.
  static constexpr Duration kMinSettleTime = std::chrono::milliseconds(500);
  static constexpr Duration kMaxSettleTime = std::chrono::seconds(3);
  // Instances to which one report is sent. With more active instances, each receives every second
  // or third report, and so on.
  static constexpr std::size_t kMaxReportTargets = 12;
  static constexpr Duration kReportInterval = std::chrono::milliseconds(100);
  // Calls that all active instances together may admit above the bucket within the delay of
  // reports, so that a small customer is served at each of a few instances. The debt is paid back.
  static constexpr double kFleetAllowance = 12;
  // Calls of a customer that the instances which callers use may admit together right after a
  // start, before their buckets refill: a number and a part of the calls of a window. Half of what
  // the operators accept above a quota, 20 calls and a quarter, since the calls of the last seconds
  // before the start are not known.
  static constexpr double kStartAllowance = 10;
  static constexpr double kStartAllowanceShare = 0.125;
  // Limit on the customers in a report; those with the most recent calls.
  static constexpr std::size_t kMaxReportedCustomers = 256;
  // A state without calls anywhere is kept this long; a peer's counts are dropped earlier than the
  // peer drops them itself, so that they never appear to restart.
  static constexpr Duration kStateRetention = std::chrono::seconds(30);
  static constexpr Duration kPeerCountRetention = std::chrono::seconds(10);
  // A customer without calls for this time is left out of reports; three reports in a row may be
  // lost before.
  static constexpr Duration kReportedPeriod = std::chrono::milliseconds(400);
  // An instance counts as serving a customer for this long after the last call.
  static constexpr Duration kContenderPeriod = std::chrono::seconds(1);
  // Bounds of the times that refused callers are given, and how long an unused one is kept.
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
  static constexpr Duration kUnusedTurnRetention = std::chrono::milliseconds(300);
  static constexpr std::size_t kMaxTurns = 256;
  // Bound on the known peers, which forged reports might name.
  static constexpr std::size_t kMaxPeers = 2000;
  // Addresses of active instances in a report.
  static constexpr std::size_t kMaxReportedPeers = 12;
  // A refund that is not used within this time is dropped: the bucket would be full again.
  static constexpr Duration kRefundRetention = std::chrono::seconds(1);
  // Debt of a bucket in seconds of its rate; bounds the effect of absurd reports.
  static constexpr double kMaxDebtSeconds = 2;

 private:
  static constexpr std::size_t kSlots = 64;
  static constexpr Duration kSlotLength = std::chrono::milliseconds(50);

  struct PeerCount {
    std::uint32_t admitted = 0;
    Instant reported_at;
  };

  // A call that was reserved for a refused request.
  struct Turn {
    Instant at;
    std::uint64_t request = 0;
  };

  struct Limits {
    double rate = 0;
    double burst = 0;
  };

  // State of one customer.
  struct State {
    Limits limits;
    double level = 0;
    Instant refilled_at;
    Instant last_used_at;
    // This instance's calls.
    Instant first_asked_at;
    Instant last_asked_at;
    std::uint32_t admitted = 0;
    std::array<std::uint16_t, kSlots> slots{};
    std::int64_t newest_slot = 0;
    double draw = 0;
    Instant drawn_at;
    std::size_t refunds = 0;
    Instant refunded_at;
    // In the order of their times.
    std::deque<Turn> turns;
    std::map<std::uint32_t, PeerCount> peer_counts;
    // Instances with calls of the customer, this one included; cached for a slot.
    double contenders = 1;
    Instant contenders_counted_at;
  };

  struct Peer {
    Incarnation incarnation;
    // Time of the last report; the oldest possible if another instance told of the peer.
    Instant heard_at;
    Instant known_at;
    bool is_active = true;
    // Until then it is not counted, since it had no time to answer.
    Instant expected_at;
    // Time of the first of its reports without a pause.
    Instant reporting_since;
    // When a report of it was last answered.
    Instant answered_at;
  };

  // Returns what identifies the customer in reports and here.
  std::uint32_t IdOf(const Customer& customer) const;
  // Gives customers with the same lowest bits of their hashes different ids, which follow from the
  // set of customers, so that all instances with the same configuration agree.
  void AssignIds(const CustomerTable& customers);
  State* FindOrCreate(std::uint32_t customer, Instant now);
  void Refill(State* state, Instant now);
  // Recomputes the shares if they are older than a slot. A share that falls lowers the buckets.
  void RefreshFleet(Instant now);
  // Time in which an instance and `instances` others have exchanged reports.
  static Duration SettleTime(double instances);
  bool IsSettling(Instant now) const;
  // Part of the quota that the answers to the first reports allow. If too few of the expected ones
  // arrive, others may not have noticed a cut yet and use all of the quota, so that only what the
  // operators accept above it is left for this part of the fleet.
  double AnsweredShare(Instant now) const;
  // Whether this instance had no calls until a short time ago, so that it may not know the others.
  bool IsNewlyActive(Instant now) const;
  Duration ActivationTime() const;
  double CountContenders(State* state, Instant now) const;
  // Calls admitted here within `period`.
  static double AdmittedWithin(const State& state, Duration period, Instant now);
  static void AdvanceSlots(State* state, Instant now);
  void Charge(State* state, double calls) const;
  // Uniform in (0, 1], constant for `period`, so that many calls at one instance don't raise its
  // chance to admit one.
  double Draw(State* state, std::uint32_t customer, Duration period, Instant now) const;
  // Reserves a call for a refused request, and returns the time until then.
  Duration GiveTurn(State* state, std::uint64_t request, double contenders, Instant now) const;
  // Removes the turn of the request if its time has come. Returns whether there was one.
  static bool TakeTurn(State* state, std::uint64_t request, Instant now);
  // Whether the bucket holds a token beside those for turns.
  bool HasUnreservedToken(const State& state, Instant now) const;

  const std::uint64_t seed_;
  std::uint32_t own_address_ = 0;
  // Ids of the customers whose lowest bits are those of another one, by hash.
  std::unordered_map<std::uint64_t, std::uint32_t> other_ids_;
  std::unordered_map<std::uint32_t, Limits> limits_;
  std::unordered_map<std::uint32_t, State> states_;
  std::map<std::uint32_t, Peer> peers_;
  std::size_t peak_fleet_size_ = 1;
  double serving_instances_ = 1;
  bool is_serving_ = false;
  // Part of the instances that may be running of which heartbeats arrive.
  double live_share_ = 1;
  double possible_instances_ = 1;
  std::optional<Instant> started_at_;
  // Since when this instance has had calls of customers with quotas without a long pause.
  Instant active_since_;
  Instant last_asked_at_;
  bool is_reporting_ = false;
  std::size_t last_reports_left_ = 0;
  std::uint32_t total_admitted_ = 0;
  std::uint32_t next_reported_peer_ = 0;
  // Cached by RefreshFleet.
  Instant refreshed_at_;
  double share_ = 0;
  double heard_share_ = 1;
  double active_instances_ = 1;
  Duration unconfirmed_period_ = kReportDelay;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CUSTOMERS_FLEET_QUOTA_H_
