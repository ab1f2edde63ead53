#ifndef PRIMROSEWEIR_LIMITS_CRASH_GUARD_H_
#define PRIMROSEWEIR_LIMITS_CRASH_GUARD_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/limits/crash_strike.h"

namespace primroseweir {

// Prevents one request from crashing several upstreams: records which requests were being executed
// when an upstream crashed (strikes) and restricts or refuses them. Thread-safe. Check and
// RecordSuccess take no lock for a fingerprint whose hash bucket has no record.
class CrashGuard {
 public:
  enum class Classification {
    // No strike since the last success, or none within kQuarantineTime.
    kClear,
    // Strikes on one upstream: executed at one upstream at a time, and not beside another suspect.
    kSuspect,
    // Strikes on two distinct upstreams within kQuarantineTime of each other: refused as not
    // executed until kQuarantineTime after the newest strike.
    kQuarantined,
  };

  // Receives the strikes and successes that this instance recorded, to be sent to the peers at
  // once.
  using Sender = std::function<void(const CrashStrike&)>;

  // ---- events ----

  // Records that the connection was lost before the response head and the upstream's port then
  // refused connections, or that the connection was reset. Fingerprint 0 stands for no fingerprint
  // and is ignored.
  void AddStrike(std::uint64_t fingerprint, const UpstreamId& upstream, Instant now);

  // Records that the upstream sent a complete response. Earlier strikes of the request no longer
  // count. Does nothing for a request without a record.
  void RecordSuccess(std::uint64_t fingerprint, const UpstreamId& upstream, Instant now);

  // Merges strikes and successes received from a peer. Those of kQuarantineTime or older are
  // ignored, as are those after the first kMaxMergedStrikes and those at an upstream with an id
  // above kMaxUpstreamIdBytes.
  void Merge(const std::vector<CrashStrike>& strikes, Instant now);

  void SetSender(Sender sender);

  // ---- decisions ----

  Classification Check(std::uint64_t fingerprint, Instant now) const;

  // Returns the one of `candidates` (not empty) where a suspect may be executed. All instances that
  // know the same strikes and candidates choose the same upstream, and different upstreams for
  // different suspects while there are enough of them, so that a second crash identifies one
  // request.
  UpstreamId Assign(std::uint64_t fingerprint, const std::vector<UpstreamId>& candidates,
                    Instant now) const;

  // Marks a suspect as executing at `upstream`. Returns false while this instance executes it
  // elsewhere, or another suspect at that upstream.
  bool TryStart(std::uint64_t fingerprint, const UpstreamId& upstream);

  // Ends an execution that TryStart began.
  void End(std::uint64_t fingerprint, const UpstreamId& upstream);

  // Returns the strikes and successes younger than kQuarantineTime, newest first, for gossip.
  std::vector<CrashStrike> Strikes(Instant now) const;

  // Returns those of Strikes for an instance that started, as many as `max_bytes` hold. The strikes
  // of quarantined requests come first: crashes of loaded upstreams leave single strikes of many
  // requests, which would displace them. Each strike counts as its upstream's id plus kStrikeBytes.
  std::vector<CrashStrike> StrikesForStart(std::size_t max_bytes, Instant now) const;

  // Number of records that evictions have looked at.
  std::uint64_t eviction_steps() const { return eviction_steps_; }

  static constexpr Duration kQuarantineTime = std::chrono::minutes(10);
  // Maximum number of fingerprints with a record; the one with the oldest last strike is evicted
  // first.
  static constexpr std::size_t kMaxFingerprints = 4096;
  // Maximum number of strikes merged from one message. A load report covers 50 ms; the crashes of
  // 40 upstreams with 16 slots each in this time leave 640 strikes.
  static constexpr std::size_t kMaxMergedStrikes = 1024;
  // Maximum number of upstreams with a strike that a record holds. Two are enough for a quarantine,
  // and a forged message may name any number.
  static constexpr std::size_t kMaxStrikesPerFingerprint = 8;
  // Ids of upstreams have some tens of bytes; a forged message may hold one of 60 KB.
  static constexpr std::size_t kMaxUpstreamIdBytes = 256;
  // How long after its last strike a suspect reserves its upstream against other suspects. Short,
  // because its caller may never send it again.
  static constexpr Duration kReservationTime = std::chrono::seconds(30);
  // Two reports of a strike, or of a success, that are closer together than this are one event.
  // Each message adds its transmission time to the reported time of the event; without this window
  // the time would advance with every instance that forwards the event.
  static constexpr Duration kSameEventWindow = std::chrono::seconds(1);
  // Size of an encoded strike in a message, without the id of its upstream.
  static constexpr std::size_t kStrikeBytes = 18;

 private:
  struct Record {
    // Time of the latest strike per upstream since the last success.
    std::map<UpstreamId, Instant> strikes;
    Instant cleared_at = Instant::min();
    UpstreamId cleared_by;
    // Time of the newest strike.
    Instant newest = Instant::min();
  };

  static constexpr std::size_t kFilterSize = 4096;

  // Returns the record of `fingerprint`, whose newest strike is then at `newest` or later.
  Record& FindOrCreate(std::uint64_t fingerprint, Instant newest, Instant now);
  void AddToRecord(Record* record, const UpstreamId& upstream, Instant at);
  void Evict(std::uint64_t fingerprint);
  void MergeStrike(const CrashStrike& strike, Instant now);
  bool ClearStrikes(std::uint64_t fingerprint, const UpstreamId& upstream, Instant at);
  UpstreamId PickUpstream(std::uint64_t suspect, const std::vector<UpstreamId>& candidates,
                          const std::set<UpstreamId>& reserved) const;
  Classification Classify(const Record& record, Instant now) const;
  void EvictOldest(Instant now);
  void UpdateFilter(std::uint64_t fingerprint, int change);
  bool MayBeKnown(std::uint64_t fingerprint) const;
  std::vector<std::uint64_t> ActiveReservations(std::uint64_t included, Instant now) const;

  mutable std::mutex mutex_;
  std::map<std::uint64_t, Record> records_;
  // The fingerprints in the order of their newest strikes. A search of all records for the oldest
  // one at each forged strike kept an instance busy for 1.3 to 3.0 s in a turn.
  std::set<std::pair<Instant, std::uint64_t>> by_newest_;
  std::uint64_t eviction_steps_ = 0;
  std::map<std::uint64_t, UpstreamId> running_;
  std::set<UpstreamId> busy_upstreams_;
  Sender sender_;
  // Number of fingerprints with a record per hash bucket; 0 means that none has one.
  std::array<std::atomic<std::uint16_t>, kFilterSize> filter_{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_CRASH_GUARD_H_
