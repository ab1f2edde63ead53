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

// Holds this instance's copy of the published state up to one revision. It never returns to an
// older revision, whatever a stale store reader or a peer sends.
//
// Items may disappear without having been withdrawn: their leases expire while the platform's store
// is down, and are renewed when it is back. Such items are kept for a while. Removed items leave a
// tombstone, so that peers can be sent the changes after a revision instead of everything.
class PublishedCache {
 public:
  // Items whose keys have this prefix are leased and may be kept while missing; others are removed
  // at once.
  explicit PublishedCache(std::string leased_prefix);

  // ---- changes; those with a result return whether anything changed ----

  // Replaces all items by those as of `revision`, unless it is older than the known revision.
  // Leased items that are missing stay until `keep_missing_until`.
  bool Replace(const std::vector<PublishedItem>& items, Revision revision,
               Instant keep_missing_until, Instant now);
  // Records that an item was written, unless a newer revision of it is known.
  bool Put(const PublishedItem& item);
  // Records that an item was withdrawn, or that its lease expired, at `revision`. A leased item
  // stays until `keep_until`.
  bool Erase(const std::string& key, Revision revision, Instant keep_until, Instant now);
  // Records that all changes up to `revision` are known.
  void Advance(Revision revision);
  // Removes missing items that have been kept for their time.
  bool Expire(Instant now);

  // ---- view ----

  Revision revision() const { return revision_; }
  // Returns the items ordered by key, including kept missing ones; valid until the next change.
  // Linear.
  std::vector<const PublishedItem*> Items() const;

  // ---- exchange between instances ----

  // Returns the changes after revision `after`, or everything when removals since then may have
  // lost their tombstones. Linear.
  PublishedSnapshot SnapshotAfter(Revision after, Instant now) const;
  // Merges a peer's snapshot, unless it is older than this cache or lacks changes between the
  // cache's revision and the snapshot's first one.
  bool Merge(const PublishedSnapshot& snapshot, Instant now);

  // Beyond this number the tombstones of the oldest removals are discarded.
  static constexpr std::size_t kMaxTombstones = 512;

 private:
  struct Entry {
    PublishedItem item;
    // Time at which a missing item is removed; the maximum while the item is present.
    Instant remove_at = Instant::max();
    // Revision at which the item went missing.
    Revision missing_since_revision;
  };

  bool IsLeased(const std::string& key) const;
  void AddTombstone(const std::string& key, Revision revision);

  const std::string leased_prefix_;
  Revision revision_;
  std::map<std::string, Entry> entries_;
  // Removed keys by the revision of the removal, and the revision up to which removals are not
  // known.
  std::multimap<Revision, std::string> tombstones_;
  Revision tombstone_horizon_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PUBLISHED_PUBLISHED_CACHE_H_
