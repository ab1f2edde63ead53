#ifndef PRIMROSEWEIR_PUBLISHED_PUBLISHED_SNAPSHOT_H_
#define PRIMROSEWEIR_PUBLISHED_PUBLISHED_SNAPSHOT_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/published/published_item.h"

namespace primroseweir {

// Part of the published state that one instance sends to another: all changes after one revision up
// to another, or everything.
struct PublishedSnapshot {
  // A removed or missing item. Receivers keep a missing leased item for `keep_for`; zero removes it
  // at once.
  struct Tombstone {
    std::string key;
    Revision revision;
    Duration keep_for{};
  };

  // The snapshot holds the changes after this revision; 0 when it holds everything.
  Revision after;
  // Revision up to which the snapshot is complete.
  Revision revision;
  std::vector<PublishedItem> items;
  std::vector<Tombstone> tombstones;
};

// Limits the memory that a peer's snapshot can take, both as received and inflated. It is far above
// the size of a configuration and entries of 1 MB each.
constexpr std::size_t kMaxPublishedSnapshotBytes = std::size_t{32} * 1024 * 1024;

// Encodes a snapshot as JSON:
// {"after":N,"at":N,"items":[[key,value,revision],...],"withdrawn":[[key,revision,ms],...]},
// deflated when it is large, since a whole data centre may copy a configuration over one slow link.
// Returns an empty string if the JSON has more than `max_text_bytes`.
std::string EncodePublishedSnapshot(const PublishedSnapshot& snapshot,
                                    std::size_t max_text_bytes = SIZE_MAX);
// Decodes a snapshot. Returns InvalidArgument for anything that EncodePublishedSnapshot does not
// write, and for a deflated one that inflates to more than `max_text_bytes`.
absl::StatusOr<PublishedSnapshot> DecodePublishedSnapshot(
    const std::string& text, std::size_t max_text_bytes = kMaxPublishedSnapshotBytes);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PUBLISHED_PUBLISHED_SNAPSHOT_H_
