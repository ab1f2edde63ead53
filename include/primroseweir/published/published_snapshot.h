#ifndef PRIMROSEWEIR_PUBLISHED_PUBLISHED_SNAPSHOT_H_
#define PRIMROSEWEIR_PUBLISHED_PUBLISHED_SNAPSHOT_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/published/published_item.h"

namespace primroseweir {

// What one instance tells another of the published state: all changes after one revision up to
// another, or everything.
struct PublishedSnapshot {
  // An item that vanished and is kept for the time left, or not at all.
  struct Tombstone {
    std::string key;
    Revision revision;
    Duration keep{};
  };

  // Changes after this revision are here; 0 when everything is.
  Revision after;
  Revision at;
  std::vector<PublishedItem> items;
  std::vector<Tombstone> tombstones;
};

// Bounds the memory that a peer can claim, on the wire and inflated: far above a configuration and
// entries of 1 MB each.
constexpr std::size_t kMaxPublishedSnapshotBytes = std::size_t{32} * 1024 * 1024;

// JSON: {"after":N,"at":N,"items":[[key,value,revision],...],"withdrawn":[[key,revision,ms],...]},
// deflated when it is large: a whole data centre may copy a configuration over one slow link.
std::string EncodePublishedSnapshot(const PublishedSnapshot& snapshot);
// InvalidArgument for anything that EncodePublishedSnapshot does not write.
absl::StatusOr<PublishedSnapshot> DecodePublishedSnapshot(const std::string& text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PUBLISHED_PUBLISHED_SNAPSHOT_H_
