#ifndef PRIMROSEWEIR_LIMITS_CRASH_GUARD_H_
#define PRIMROSEWEIR_LIMITS_CRASH_GUARD_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/limits/crash_strike.h"

namespace primroseweir {

// Keeps one request from crashing upstream after upstream (design 7.9). Safe for many threads. A
// request whose fingerprint has no strike takes no lock.
class CrashGuard {
 public:
  enum class Classification {
    // No strike is known.
    kClear,
    // One strike: runs at one upstream at a time, apart from other suspects.
    kSuspect,
    // Strikes on two distinct upstreams within kQuarantineTime: refused as "not run" until
    // kQuarantineTime
    // after the newer one.
    kQuarantined,
  };

  // Receives strikes and successes that this instance saw, to be sent to the peers at once.
  using Sender = std::function<void(const CrashStrike&)>;

  // ---- events ----

  // A connection was lost before the answer's head and the upstream's port then refused
  // connections, or the connection was reset. Fingerprint 0 stands for none.
  void AddStrike(std::uint64_t fingerprint, const UpstreamId& upstream, Instant now);

  // The upstream answered a call whole. Earlier strikes no longer count. Without strikes it does
  // nothing.
  void RecordSuccess(std::uint64_t fingerprint, const UpstreamId& upstream, Instant now);

  // Takes what a peer saw.
  void Merge(const std::vector<CrashStrike>& strikes, Instant now);

  void SetSender(Sender sender);

  // ---- decisions ----

  Classification Check(std::uint64_t fingerprint, Instant now) const;

  // The upstream where a suspect may run, out of `candidates`, which is not empty. All instances
  // that know the same strikes and candidates choose the same upstream, and different upstreams for
  // different suspects while there are enough of them. So a second crash points to one request.
  UpstreamId Assign(std::uint64_t fingerprint, const std::vector<UpstreamId>& candidates,
                    Instant now) const;

  // Begins a suspect's run; false while it runs elsewhere at this instance, or another suspect
  // runs at that upstream.
  bool TryStart(std::uint64_t fingerprint, const UpstreamId& upstream);

  // Ends a run that TryStart began.
  void End(std::uint64_t fingerprint, const UpstreamId& upstream);

  // The strikes and successes that still count, newest first, for gossip.
  std::vector<CrashStrike> Strikes(Instant now) const;

  static constexpr Duration kQuarantineTime = std::chrono::minutes(10);
  // Fingerprints kept; the one with the oldest strike is dropped first.
  static constexpr std::size_t kMaximumFingerprints = 4096;
  // A suspect keeps its upstream from others only this long after a strike: its caller may never
  // send it again.
  static constexpr Duration kReservationTime = std::chrono::seconds(30);
  // Two reports of a strike, or of a success, that are nearer to each other are one event: each
  // message adds its time on the way to the event's time, and without this the time would creep
  // from instance to instance.
  static constexpr Duration kSameEventWindow = std::chrono::seconds(1);

 private:
  struct Record {
    // Time of the newest strike per upstream.
    std::map<UpstreamId, Instant> strikes;
    Instant cleared = Instant::min();
    UpstreamId cleared_by;
    Instant newest = Instant::min();
  };

  static constexpr std::size_t kFilterSize = 4096;

  Record& FindOrCreate(std::uint64_t fingerprint, Instant now);
  void MergeOne(const CrashStrike& strike, Instant now);
  bool Clear(std::uint64_t fingerprint, const UpstreamId& upstream, Instant at);
  UpstreamId PickUpstream(std::uint64_t suspect, const std::vector<UpstreamId>& candidates,
                          const std::set<UpstreamId>& taken) const;
  Classification Classify(const Record& record, Instant now) const;
  void EvictOldest(Instant now);
  void UpdateFilter(std::uint64_t fingerprint, int change);
  bool MayBeKnown(std::uint64_t fingerprint) const;
  std::vector<std::uint64_t> ActiveReservations(std::uint64_t own, Instant now) const;

  mutable std::mutex mutex_;
  std::map<std::uint64_t, Record> records_;
  std::map<std::uint64_t, UpstreamId> running_;
  std::set<UpstreamId> busy_;
  Sender sender_;
  // Number of known fingerprints per hash bucket; 0 means surely clear.
  std::array<std::atomic<std::uint16_t>, kFilterSize> filter_{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_CRASH_GUARD_H_
