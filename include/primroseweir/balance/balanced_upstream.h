#ifndef PRIMROSEWEIR_BALANCE_BALANCED_UPSTREAM_H_
#define PRIMROSEWEIR_BALANCE_BALANCED_UPSTREAM_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "primroseweir/balance/upstream_load_report.h"
#include "primroseweir/balance/warm_up_pacer.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/upstream_record.h"

namespace primroseweir {

// How an attempt at an upstream ended, as far as the balance is concerned.
enum class UpstreamOutcome {
  kAnswered,
  // The upstream said that it did not run the call.
  kRefused,
  // The upstream answered with a failure of its own (5xx).
  kFailed,
  // The connection was lost before the answer was whole, or no connection could be opened.
  kLost,
  // No answer in time.
  kTimedOut,
  // The caller left, or another attempt answered first.
  kCancelled,
};

// What this instance knows of one upstream. Owned by the thread of the event loop.
class BalancedUpstream {
 public:
  BalancedUpstream(UpstreamRecord record, const WarmUpPacer::Limits& warm_up_limits);

  // ---- listing ----

  const UpstreamRecord& record() const { return record_; }
  // The list changed something other than the process: state, slots or address.
  void Update(const UpstreamRecord& record, const WarmUpPacer::Limits& warm_up_limits);
  // No longer listed: takes no new calls.
  void SetListed(bool listed) { is_listed_ = listed; }
  // The data centre is out of service.
  void SetDataCentreOut(bool out) { data_centre_out_ = out; }
  // Another upstream answered at the address: takes no calls until it is listed anew.
  void SetMisdirected() { is_misdirected_ = true; }
  // Whether the list and the operators allow new calls.
  bool is_usable() const {
    return is_listed_ && !data_centre_out_ && !is_misdirected_ &&
           record_.state == ListedState::kLive;
  }

  // ---- cold start ----

  // The upstream is cold until `until`. `instances` as for WarmUpPacer.
  void SetCold(Instant until, std::size_t instances, Instant now, Random* random);
  bool is_cold(Instant now) const { return now < cold_until_; }
  WarmUpPacer& pacer() { return pacer_; }
  const WarmUpPacer::Limits& warm_up_limits() const { return warm_up_limits_; }

  // ---- doubt ----

  // Why an upstream is doubted.
  enum class SuspectCause {
    // A connection to it failed.
    kConnectionLost,
    // Its data centre was out of service.
    kDataCentreReturned,
  };
  // The process may have restarted cold, so that only probes are sent until one is answered.
  void MarkSuspect(SuspectCause cause, Instant now);
  bool is_suspect() const { return is_suspect_; }
  bool is_suspect_after_loss() const { return is_suspect_ && connection_lost_; }
  // A probe was answered: `warm_up_left` as stated there.
  void ClearSuspect(Duration warm_up_left, std::size_t instances, Instant now, Random* random);
  // The upstream itself answered a probe with a failure. After kMaxIgnoredProbes of them in a row
  // the upstream is no longer doubted.
  void RecordUnhealthyProbe();
  // Whether a probe is due; takes it.
  bool TryAcquireProbe(Instant now);

  // ---- load ----

  void RecordStart() {
    ++in_flight_;
    is_new_ = false;
  }
  // An attempt that started at `started` ended. `usual` is the service's usual time to answer.
  void RecordEnd(UpstreamOutcome outcome, Instant started, Duration latency_estimate, Instant now);
  // An attempt that started at `started` has no answer yet. Counts only when it is overdue, and
  // only when it shows the upstream slower than known: the whole time to answer would be longer
  // still.
  void RecordUnanswered(Instant started, Duration latency_estimate, Instant now);
  // An answer to a call that is still counted here, or to a probe, stated the load.
  enum class ReportSource { kResponse, kProbe };
  void RecordReport(const UpstreamLoadReport& load, ReportSource source, Instant now);
  // Calls that other instances have there, by their own word.
  void SetPeerInFlight(std::uint32_t calls) { peer_in_flight_ = calls; }
  // A peer's view of how long work takes there.
  void RecordPeerSlowdown(double slowdown, Instant measured);

  // The upstream was listed while others of the fleet were in use.
  void MarkNew() { is_new_ = true; }
  // Whether it joined and got no call from this instance yet.
  bool is_new() const { return is_new_; }

  // Whether a connection to it is at hand.
  bool is_connected() const { return is_connected_; }
  void SetConnected(bool is_connected) { is_connected_ = is_connected; }
  std::uint32_t in_flight() const { return in_flight_; }
  // Calls that wait at the upstream and calls that run there, by its newest report.
  std::uint32_t reported_waiting() const { return reported_waiting_; }
  std::uint32_t reported_running() const { return reported_running_; }
  // Whether it had a free slot at its newest report.
  bool has_reported_room() const {
    return reported_waiting_ == 0 && reported_running_ < record_.slots;
  }
  // Calls that are probably there now, from all instances.
  double occupancy(Instant now) const;
  // Factor on the usual time to answer, from the newest reports and this instance's own calls.
  double slowness(Instant now) const;
  // Recent share of attempts that failed, 0 to 1.
  double failure_rate(Instant now) const;
  double reported_slowdown() const { return slowdown_; }
  // Whether the upstream may state its load: it did, or it was never asked.
  bool may_report() const { return report_at_ != Instant() || !answered_probe_; }
  void RecordProbeAnswered() { answered_probe_ = true; }
  // Hash of the id, under which instances exchange what they know.
  std::uint64_t hash() const { return hash_; }
  Instant reported_at() const { return report_at_; }

  // Neighbours on an upstream's machine change about this often; older reports count little.
  static constexpr Duration kSlowdownDecayTime = std::chrono::milliseconds(150);
  // What this instance saw of latencies and failures fades over this time, so that an upstream that
  // was avoided is tried again.
  static constexpr Duration kObservationDecayTime = std::chrono::milliseconds(2500);
  // An attempt without an answer for this many usual times is overdue.
  static constexpr double kOverdueFactor = 1.5;
  // Reports of calls from instances that state nothing themselves.
  static constexpr Duration kReportDecayTime = std::chrono::milliseconds(1000);
  // Between two probes of a doubted upstream by one instance.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(400);
  // Probes in a row that the right upstream answered with a failure, after which a call tells more
  // than a further probe: health answers may be wrong in either direction.
  static constexpr int kMaxIgnoredProbes = 4;

 private:
  // Logarithm of the observed slowness as it counts now, 0 for as usual.
  double ObservedSlowness(Instant now) const;
  void AddSample(double log_ratio, Instant now);
  // What the upstream's own word does not explain of a long answer: a slowdown by its neighbours
  // passes soon and is told from each report, while observations last.
  double UnexplainedSlowness(double log_ratio, Instant now) const;
  double ReportedSlowdown(Instant now) const;

  UpstreamRecord record_;
  const std::uint64_t hash_;
  WarmUpPacer::Limits warm_up_limits_;
  bool is_listed_ = true;
  bool data_centre_out_ = false;
  bool is_misdirected_ = false;
  bool is_suspect_ = false;
  bool connection_lost_ = false;
  Instant next_probe_;
  int unhealthy_probes_ = 0;
  Instant cold_until_;
  WarmUpPacer pacer_;
  bool is_new_ = false;
  bool is_connected_ = false;
  std::uint32_t in_flight_ = 0;
  std::uint32_t peer_in_flight_ = 0;
  // Calls of others at the newest report.
  double others_in_flight_ = 0;
  Instant report_at_;
  std::uint32_t reported_running_ = 0;
  std::uint32_t reported_waiting_ = 0;
  bool answered_probe_ = false;
  double slowdown_ = 1;
  Instant slowdown_at_;
  // ObservedSlowness at slowness_at_.
  double log_slowness_ = 0;
  Instant slowness_at_;
  double failure_rate_ = 0;
  Instant failure_rate_at_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_BALANCED_UPSTREAM_H_
