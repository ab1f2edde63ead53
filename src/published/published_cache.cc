#include "primroseweir/published/published_cache.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace primroseweir {

PublishedCache::PublishedCache(std::string leased_prefix)
    : leased_prefix_(std::move(leased_prefix)) {}

bool PublishedCache::IsLeased(const std::string& key) const {
  return key.compare(0, leased_prefix_.size(), leased_prefix_) == 0;
}

void PublishedCache::AddTombstone(const std::string& key, Revision revision) {
  tombstones_.emplace(revision, key);
  if (tombstones_.size() > kMaxTombstones) {
    tombstone_horizon_ = tombstones_.begin()->first;
    tombstones_.erase(tombstones_.begin());
  }
}

// ---- changes ----

bool PublishedCache::Replace(const std::vector<PublishedItem>& items, Revision revision,
                             Instant keep_missing_until, Instant now) {
  if (revision < revision_) {
    return false;
  }
  if (revision_ == Revision()) {
    // Removals before the first full list of items are not known here.
    tombstone_horizon_ = revision;
  }
  bool changed = false;
  std::set<std::string> present;
  for (const auto& item : items) {
    present.insert(item.key);
    changed = Put(item) || changed;
  }
  std::vector<std::string> missing;
  for (const auto& [key, entry] : entries_) {
    // An item that is newer than `revision` was received otherwise and stays.
    if (present.count(key) == 0 && entry.item.revision <= revision) {
      missing.push_back(key);
    }
  }
  for (const auto& key : missing) {
    changed = Erase(key, revision, keep_missing_until, now) || changed;
  }
  revision_ = revision;
  return changed;
}

bool PublishedCache::Put(const PublishedItem& item) {
  auto& entry = entries_[item.key];
  if (item.revision < entry.item.revision) {
    return false;
  }
  const bool changed = item.revision != entry.item.revision;
  entry.item = item;
  entry.remove_at = Instant::max();
  return changed;
}

bool PublishedCache::Erase(const std::string& key, Revision revision, Instant keep_until,
                           Instant now) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.item.revision > revision) {
    return false;
  }
  auto& entry = found->second;
  if (IsLeased(key) && keep_until > now) {
    entry.remove_at = std::min(entry.remove_at, keep_until);
    entry.missing_since_revision = revision;
    return false;
  }
  entries_.erase(found);
  AddTombstone(key, revision);
  return true;
}

void PublishedCache::Advance(Revision revision) { revision_ = std::max(revision_, revision); }

bool PublishedCache::Expire(Instant now) {
  bool changed = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (it->second.remove_at > now) {
      ++it;
      continue;
    }
    AddTombstone(it->first, it->second.missing_since_revision);
    it = entries_.erase(it);
    changed = true;
  }
  return changed;
}

// ---- view ----

std::vector<const PublishedItem*> PublishedCache::Items() const {
  std::vector<const PublishedItem*> items;
  items.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    items.push_back(&entry.item);
  }
  return items;
}

// ---- exchange between instances ----

PublishedSnapshot PublishedCache::SnapshotAfter(Revision after, Instant now) const {
  PublishedSnapshot snapshot;
  snapshot.after = after < tombstone_horizon_ ? Revision() : after;
  snapshot.revision = revision_;
  for (const auto& [key, entry] : entries_) {
    if (entry.item.revision > snapshot.after) {
      snapshot.items.push_back(entry.item);
    }
    if (entry.remove_at != Instant::max()) {
      snapshot.tombstones.push_back({key, entry.missing_since_revision, entry.remove_at - now});
    }
  }
  for (auto it = tombstones_.upper_bound(snapshot.after); it != tombstones_.end(); ++it) {
    snapshot.tombstones.push_back({it->second, it->first, Duration::zero()});
  }
  return snapshot;
}

bool PublishedCache::Merge(const PublishedSnapshot& snapshot, Instant now) {
  if (snapshot.revision < revision_ || snapshot.after > revision_) {
    return false;
  }
  bool changed = false;
  if (snapshot.after == Revision()) {
    changed = Replace(snapshot.items, snapshot.revision, now, now);
  }
  for (const auto& item : snapshot.items) {
    changed = Put(item) || changed;
  }
  for (const auto& item : snapshot.tombstones) {
    changed = Erase(item.key, item.revision, now + item.keep_for, now) || changed;
  }
  revision_ = snapshot.revision;
  return changed;
}

}  // namespace primroseweir
