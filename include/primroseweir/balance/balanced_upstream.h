#ifndef PRIMROSEWEIR_BALANCE_BALANCED_UPSTREAM_H_
#define PRIMROSEWEIR_BALANCE_BALANCED_UPSTREAM_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "primroseweir/balance/upstream_load_report.h"
#include "primroseweir/balance/upstream_pause.h"
#include "primroseweir/balance/warm_up_pacer.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/upstream_record.h"

namespace primroseweir {

// Outcome of an attempt at an upstream, as far as load balancing distinguishes it.
enum class UpstreamOutcome {
  kResponded,
  // The upstream stated that it did not execute the call.
  kRefused,
  // The upstream responded with a failure of its own (such as 5xx), or its response is unusable.
  kFailed,
  // The connection was lost before the response was complete, or no connection could be opened.
  kConnectionLost,
  // No response before the deadline of the call.
  kTimedOut,
  // The caller disconnected, or another attempt got its response first.
  kCancelled,
};

// State of one upstream as known to this instance. Used only on the thread of the event loop.
class BalancedUpstream {
 public:
  BalancedUpstream(UpstreamRecord record, const WarmUpPacer::Limits& warm_up_limits);

  // ---- listing ----

  const UpstreamRecord& record() const { return record_; }
  // Applies a changed list entry. A changed start time or address means a new process: its
  // observations are reset, and it counts as new.
  void Update(const UpstreamRecord& record, const WarmUpPacer::Limits& warm_up_limits);
  // Sets whether the upstream is listed; one that is not gets no new calls.
  void SetListed(bool listed) { is_listed_ = listed; }
  // Sets whether the data centre of the upstream is out of service.
  void SetDataCentreOut(bool is_out) { is_data_centre_out_ = is_out; }
  // Records that another upstream responded at the address. This one gets no calls until it is
  // listed with a new start time or address.
  void SetMisdirected() { is_misdirected_ = true; }
  // Records that the upstream stated that it leaves. It gets no calls until it is listed with a new
  // start time or address, whatever it states later.
  void SetLeaving() { is_leaving_ = true; }
  bool is_leaving() const { return is_leaving_; }
  // Returns whether the upstream may get new calls: it is listed as live, its data centre is in
  // service, and it is neither misdirected nor leaving.
  bool is_usable() const {
    return is_listed_ && !is_data_centre_out_ && !is_misdirected_ && !is_leaving_ &&
           record_.state == ListedState::kLive;
  }

  // ---- pause ----

  // The pause that the upstream asked this instance for. It gets no calls and no probes meanwhile.
  UpstreamPause& pause() { return pause_; }
  const UpstreamPause& pause() const { return pause_; }
  // Returns whether the upstream may get calls and probes now: it is usable and not paused.
  bool is_available(Instant now) const { return is_usable() && !pause_.is_active(now); }

  // ---- cold start ----

  // Marks the upstream cold until `until`, or longer if it already is. `instances` as for
  // WarmUpPacer.
  void SetCold(Instant until, std::size_t instances, Instant now, Random* random);
  bool is_cold(Instant now) const { return now < cold_until_; }
  WarmUpPacer& pacer() { return pacer_; }
  const WarmUpPacer::Limits& warm_up_limits() const { return warm_up_limits_; }

  // ---- suspect state ----

  // Why an upstream is suspect.
  enum class SuspectCause {
    // A connection to the upstream failed.
    kConnectionLost,
    // The data centre of the upstream was out of service.
    kDataCentreOut,
  };
  // Marks the upstream suspect: its process may have restarted and be cold, so it gets only probes
  // until ClearSuspect or RecordUnhealthyProbe ends that state.
  void MarkSuspect(SuspectCause cause, Instant now);
  bool is_suspect() const { return is_suspect_; }
  bool is_suspect_after_loss() const { return is_suspect_ && connection_lost_; }
  // Ends the suspect state. `warm_up_left` is the remaining warm-up time that the response to the
  // probe stated.
  void ClearSuspect(Duration warm_up_left, std::size_t instances, Instant now, Random* random);
  // Records a probe to which the upstream itself responded with a failure. After kMaxIgnoredProbes
  // of these in a row the upstream is no longer suspect.
  void RecordUnhealthyProbe();
  // Returns whether a probe is due. If so, the next one is due after kProbeInterval.
  bool TryAcquireProbe(Instant now);

  // ---- load ----

  void RecordStart() {
    ++in_flight_;
    is_new_ = false;
  }
  // Records the end of an attempt that started at `started`. `latency_estimate` is the estimate for
  // the service of the upstream.
  void RecordEnd(UpstreamOutcome outcome, Instant started, Duration latency_estimate, Instant now);
  // Records that an attempt that started at `started` has no response yet. Counts only if it is
  // overdue and indicates more slowness than observed so far; its final latency can only be longer.
  void RecordOverdue(Instant started, Duration latency_estimate, Instant now);
  // Source of a load report: the response to a call that still counts as in flight, or to a probe.
  enum class ReportSource { kResponse, kProbe };
  void RecordReport(const UpstreamLoadReport& load, ReportSource source, Instant now);
  // Sets the number of calls that other instances report to have in flight at the upstream.
  void SetPeerInFlight(std::uint32_t calls) { peer_in_flight_ = calls; }
  // Records the slowdown that a peer reports for the upstream, unless a newer one is known.
  void RecordPeerSlowdown(double slowdown, Instant measured);

  // Marks the upstream as added to a list that was already in use.
  void MarkNew() { is_new_ = true; }
  // Returns whether the upstream joined or restarted and got no call from this instance since.
  bool is_new() const { return is_new_; }

  // Returns whether an idle connection to the upstream is available.
  bool is_connected() const { return is_connected_; }
  void SetConnected(bool is_connected) { is_connected_ = is_connected; }
  std::uint32_t in_flight() const { return in_flight_; }
  // Return the calls queued and the calls executing at the upstream by its newest load report.
  std::uint32_t reported_waiting() const { return reported_waiting_; }
  std::uint32_t reported_running() const { return reported_running_; }
  // Returns whether the upstream had a free slot at its newest load report.
  bool has_reported_room() const {
    return reported_waiting_ == 0 && reported_running_ < record_.slots;
  }
  // Returns the estimated number of calls at the upstream now, from all instances.
  double occupancy(Instant now) const;
  // Returns the expected latency relative to the service's latency estimate, from the newest load
  // report and the calls of this instance.
  double slowness(Instant now) const;
  // Returns the recent fraction of attempts that failed, 0 to 1.
  double failure_rate(Instant now) const;
  double reported_slowdown() const { return slowdown_; }
  // Returns whether the upstream may send load reports: it sent one, or has not yet responded to a
  // probe.
  bool may_report() const { return reported_at_ != Instant() || !responded_to_probe_; }
  void RecordProbeResponse() { responded_to_probe_ = true; }
  // Returns the hash of the upstream's id, which identifies the upstream in load reports between
  // instances.
  std::uint64_t hash() const { return hash_; }
  Instant reported_at() const { return reported_at_; }

  // Decay time of a reported slowdown: the load of other tenants on an upstream's machine changes
  // about this often.
  static constexpr Duration kSlowdownDecayTime = std::chrono::milliseconds(150);
  // Decay time of the latencies and failures that this instance observed, so that an upstream that
  // was avoided is tried again.
  static constexpr Duration kObservationDecayTime = std::chrono::milliseconds(2500);
  // An attempt is overdue when it has had no response for this multiple of the latency estimate,
  // not counting what the reported slowdown explains.
  static constexpr double kOverdueFactor = 1.5;
  // Decay time of the calls of other instances that an upstream reports; it matters for instances
  // that send no load reports themselves.
  static constexpr Duration kReportDecayTime = std::chrono::milliseconds(1000);
  // Time between two probes of a suspect upstream by one instance.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(400);
  // Number of probes in a row to which the expected upstream responded with a failure, after which
  // it is no longer suspect. Health responses may be wrong in either direction, so from then on a
  // call shows more than a further probe.
  static constexpr int kMaxIgnoredProbes = 4;

 private:
  // Returns the natural logarithm of the observed slowness, decayed to `now`; 0 means not slow.
  double ObservedSlowness(Instant now) const;
  void AddSample(double log_ratio, Instant now);
  // Returns the part of a latency ratio, as a logarithm, that the reported slowdown does not
  // explain. A slowdown by other tenants of the machine passes soon and is known from each load
  // report, while observations are kept for longer.
  double UnexplainedSlowness(double log_ratio, Instant now) const;
  double ReportedSlowdown(Instant now) const;

  UpstreamRecord record_;
  const std::uint64_t hash_;
  WarmUpPacer::Limits warm_up_limits_;
  bool is_listed_ = true;
  bool is_data_centre_out_ = false;
  bool is_misdirected_ = false;
  bool is_leaving_ = false;
  UpstreamPause pause_;
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
  // Calls of other instances by the newest load report.
  double others_in_flight_ = 0;
  Instant reported_at_;
  std::uint32_t reported_running_ = 0;
  std::uint32_t reported_waiting_ = 0;
  bool responded_to_probe_ = false;
  double slowdown_ = 1;
  Instant slowdown_at_;
  // Value of ObservedSlowness at the time slowness_at_.
  double log_slowness_ = 0;
  Instant slowness_at_;
  double failure_rate_ = 0;
  Instant failure_rate_at_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_BALANCED_UPSTREAM_H_
