#include "primroseweir/published/published_cache.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace primroseweir {

PublishedCache::PublishedCache(std::string lapsing_prefix)
    : lapsing_prefix_(std::move(lapsing_prefix)) {}

bool PublishedCache::MayLapse(const std::string& key) const {
  return key.compare(0, lapsing_prefix_.size(), lapsing_prefix_) == 0;
}

void PublishedCache::NoteWithdrawn(const std::string& key, Revision revision) {
  withdrawn_.emplace(revision, key);
  if (withdrawn_.size() > kMaxWithdrawn) {
    forgotten_ = withdrawn_.begin()->first;
    withdrawn_.erase(withdrawn_.begin());
  }
}

// ---- changes ----

bool PublishedCache::Replace(const std::vector<PublishedItem>& items, Revision at,
                             Instant keep_missing, Instant now) {
  if (at < at_) {
    return false;
  }
  if (at_ == Revision()) {
    // What was withdrawn before the first copy is not known here.
    forgotten_ = at;
  }
  bool changed = false;
  std::set<std::string> present;
  for (const auto& item : items) {
    present.insert(item.key);
    changed = Put(item) || changed;
  }
  std::vector<std::string> missing;
  for (const auto& [key, entry] : entries_) {
    // An item that is newer than the copy was heard of in another way.
    if (present.count(key) == 0 && entry.item.revision <= at) {
      missing.push_back(key);
    }
  }
  for (const auto& key : missing) {
    changed = Erase(key, at, keep_missing, now) || changed;
  }
  at_ = at;
  return changed;
}

bool PublishedCache::Put(const PublishedItem& item) {
  auto& entry = entries_[item.key];
  if (item.revision < entry.item.revision) {
    return false;
  }
  const bool changed = item.revision != entry.item.revision;
  entry.item = item;
  entry.drop_at = Instant::max();
  return changed;
}

bool PublishedCache::Erase(const std::string& key, Revision revision, Instant keep, Instant now) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.item.revision > revision) {
    return false;
  }
  auto& entry = found->second;
  if (MayLapse(key) && keep > now) {
    entry.drop_at = std::min(entry.drop_at, keep);
    entry.missing_since = revision;
    return false;
  }
  entries_.erase(found);
  NoteWithdrawn(key, revision);
  return true;
}

void PublishedCache::Advance(Revision at) { at_ = std::max(at_, at); }

bool PublishedCache::Expire(Instant now) {
  bool changed = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (it->second.drop_at > now) {
      ++it;
      continue;
    }
    NoteWithdrawn(it->first, it->second.missing_since);
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

PublishedCopy PublishedCache::CopyAfter(Revision after, Instant now) const {
  PublishedCopy copy;
  copy.after = after < forgotten_ ? Revision() : after;
  copy.at = at_;
  for (const auto& [key, entry] : entries_) {
    if (entry.item.revision > copy.after) {
      copy.items.push_back(entry.item);
    }
    if (entry.drop_at != Instant::max()) {
      copy.withdrawn.push_back({key, entry.missing_since, entry.drop_at - now});
    }
  }
  for (auto it = withdrawn_.upper_bound(copy.after); it != withdrawn_.end(); ++it) {
    copy.withdrawn.push_back({it->second, it->first, Duration::zero()});
  }
  return copy;
}

bool PublishedCache::Take(const PublishedCopy& copy, Instant now) {
  if (copy.at < at_ || copy.after > at_) {
    return false;
  }
  bool changed = false;
  if (copy.after == Revision()) {
    changed = Replace(copy.items, copy.at, now, now);
  }
  for (const auto& item : copy.items) {
    changed = Put(item) || changed;
  }
  for (const auto& item : copy.withdrawn) {
    changed = Erase(item.key, item.revision, now + item.keep, now) || changed;
  }
  at_ = copy.at;
  return changed;
}

}  // namespace primroseweir
