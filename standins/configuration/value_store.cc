#include "value_store.h"

#include <algorithm>

namespace primroseweir::standin {

std::uint64_t ValueStore::Set(const std::string& key, const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  values_[key] = {++revision_, text};
  changed_.notify_all();
  return revision_;
}

const ValueStore::Values& ValueStore::VisibleTo(const Reader& reader) const {
  for (const std::string& name : {reader.ip, reader.at, std::string()}) {
    const auto frozen = frozen_.find(name);
    if (frozen != frozen_.end()) return *frozen->second;
  }
  return values_;
}

std::optional<ValueStore::Value> ValueStore::Read(const Reader& reader, const std::string& key,
                                                  std::uint64_t after,
                                                  std::chrono::milliseconds wait, bool* known) {
  std::unique_lock<std::mutex> lock(mutex_);
  std::optional<Value> result;
  const auto visible = [&] {
    const Values& values = VisibleTo(reader);
    const auto found = values.find(key);
    *known = found != values.end();
    if (*known && found->second.revision > after) result = found->second;
    return result.has_value() || down_;
  };
  ++counts_.waiting;
  CountLocked();
  changed_.wait_for(lock, wait, visible);
  --counts_.waiting;
  ++counts_.reads;
  recent_.push_back(std::chrono::steady_clock::now());
  CountLocked();
  return down_ ? std::nullopt : result;
}

void ValueStore::Freeze(const std::string& who) {
  const std::lock_guard<std::mutex> lock(mutex_);
  frozen_[who] = std::make_shared<const Values>(values_);
}

void ValueStore::Thaw(const std::string& who) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (who.empty()) {
    frozen_.clear();
  } else {
    frozen_.erase(who);
  }
  changed_.notify_all();
}

void ValueStore::SetDown(bool down) {
  const std::lock_guard<std::mutex> lock(mutex_);
  down_ = down;
  changed_.notify_all();
}

bool ValueStore::IsDown() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return down_;
}

ValueStore::Counts ValueStore::Count() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return CountLocked();
}

ValueStore::Counts ValueStore::CountLocked() {
  const auto horizon = std::chrono::steady_clock::now() - std::chrono::seconds(1);
  while (!recent_.empty() && recent_.front() < horizon) recent_.pop_front();
  counts_.load = recent_.size() + counts_.waiting;
  counts_.highest_load = std::max(counts_.highest_load, counts_.load);
  return counts_;
}

}  // namespace primroseweir::standin
