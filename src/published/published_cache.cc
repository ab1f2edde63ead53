#include "primroseweir/published/published_cache.h"

#include <exception>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "primroseweir/base/error.h"

namespace primroseweir {

PublishedCache::PublishedCache(std::string lapsing_prefix)
    : lapsing_prefix_(std::move(lapsing_prefix)) {}

bool PublishedCache::MayLapse(const std::string& key) const {
  return key.compare(0, lapsing_prefix_.size(), lapsing_prefix_) == 0;
}

// ---- changes ----

bool PublishedCache::Replace(const std::vector<PublishedItem>& items, Revision at,
                             Instant keep_missing, Instant now) {
  if (at < at_) {
    return false;
  }
  bool changed = false;
  std::set<std::string> present;
  for (const auto& item : items) {
    present.insert(item.key);
    changed = Put(item) || changed;
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    auto& [key, entry] = *it;
    // An item that is newer than the copy was heard of in another way.
    if (present.count(key) != 0 || entry.item.revision > at) {
      ++it;
      continue;
    }
    if (MayLapse(key) && keep_missing > now) {
      entry.drop_at = std::min(entry.drop_at, keep_missing);
      ++it;
      continue;
    }
    it = entries_.erase(it);
    changed = true;
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
  if (MayLapse(key) && keep > now) {
    found->second.drop_at = std::min(found->second.drop_at, keep);
    return false;
  }
  entries_.erase(found);
  return true;
}

void PublishedCache::Advance(Revision at) { at_ = std::max(at_, at); }

bool PublishedCache::Expire(Instant now) {
  bool changed = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool expired = it->second.drop_at <= now;
    it = expired ? entries_.erase(it) : std::next(it);
    changed = changed || expired;
  }
  return changed;
}

// ---- view ----

std::vector<PublishedItem> PublishedCache::Items() const {
  std::vector<PublishedItem> items;
  items.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    items.push_back(entry.item);
  }
  return items;
}

// ---- exchange between instances ----

std::string PublishedCache::Encode() const {
  nlohmann::json items = nlohmann::json::array();
  for (const auto& [key, entry] : entries_) {
    if (entry.drop_at == Instant::max()) {
      items.push_back({key, entry.item.value, entry.item.revision.value()});
    }
  }
  const nlohmann::json copy = {{"at", at_.value()}, {"items", std::move(items)}};
  return copy.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<PublishedCache::Copy> PublishedCache::Decode(const std::string& text) {
  try {
    const auto json = nlohmann::json::parse(text);
    Copy copy;
    copy.at = Revision(json.at("at").get<std::uint64_t>());
    for (const auto& item : json.at("items")) {
      copy.items.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>(),
                            Revision(item.at(2).get<std::uint64_t>())});
    }
    return copy;
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument, {"peer copy", ""}, error.what());
  }
}

}  // namespace primroseweir
