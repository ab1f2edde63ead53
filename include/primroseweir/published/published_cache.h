#ifndef PRIMROSEWEIR_PUBLISHED_PUBLISHED_CACHE_H_
#define PRIMROSEWEIR_PUBLISHED_PUBLISHED_CACHE_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/published/published_item.h"
#include "primroseweir/published/published_snapshot.h"

namespace primroseweir {

// This instance's copy of everything that is published, up to one revision. It never steps back,
// whatever a stale reader or a peer offers.
//
// Items may vanish although nothing withdrew them: their leases lapse while the platform's store is
// away, and are renewed after its return. Such items are kept for a while. Withdrawn items leave a
// mark, so that peers can be told what changed after a revision instead of everything.
class PublishedCache {
 public:
  // Items with this prefix may lapse; others vanish at once.
  explicit PublishedCache(std::string leased_prefix);

  // ---- changes; each answers whether anything changed ----

  // Takes everything as of `at`, unless it is older than what is known. Items that may lapse and
  // are missing stay until `keep_missing_until`.
  bool Replace(const std::vector<PublishedItem>& items, Revision at, Instant keep_missing_until,
               Instant now);
  // One item was written.
  bool Put(const PublishedItem& item);
  // One item was withdrawn or lapsed at `revision`. It stays until `keep`.
  bool Erase(const std::string& key, Revision revision, Instant keep, Instant now);
  // Everything up to `at` is known.
  void Advance(Revision at);
  // Drops items whose time has passed.
  bool Expire(Instant now);

  // ---- view ----

  Revision at() const { return revision_; }
  // Items in the order of their keys, kept ones included; valid until the next change. Linear.
  std::vector<const PublishedItem*> Items() const;

  // ---- exchange between instances ----

  // What changed after `after`, or everything when that is not known any more. Linear.
  PublishedSnapshot SnapshotAfter(Revision after, Instant now) const;
  // Takes a peer's copy, unless it lacks changes between the own revision and its first one.
  bool Merge(const PublishedSnapshot& snapshot, Instant now);

  // Withdrawn items that are remembered.
  static constexpr std::size_t kMaxTombstones = 512;

 private:
  struct Entry {
    PublishedItem item;
    // Set when the item is missing: it is dropped at that time.
    Instant drop_at = Instant::max();
    // Revision at which it went missing.
    Revision missing_since_revision;
  };

  bool IsLeased(const std::string& key) const;
  void AddTombstone(const std::string& key, Revision revision);

  const std::string leased_prefix_;
  Revision revision_;
  std::map<std::string, Entry> entries_;
  // Withdrawn keys by the revision of that, and the revision up to which withdrawals are not known.
  std::multimap<Revision, std::string> tombstones_;
  Revision tombstone_horizon_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PUBLISHED_PUBLISHED_CACHE_H_
