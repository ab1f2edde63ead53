#include "value_store.h"

#include <algorithm>

namespace primroseweir::standin {

std::uint64_t ValueStore::Set(const std::string& key, const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  values_[key] = {++revision_, text};
  values_changed_.notify_all();
  return revision_;
}

const ValueStore::Values& ValueStore::VisibleTo(const Reader& reader) const {
  for (const std::string& name : {reader.ip, reader.service_address, std::string()}) {
    const auto frozen = frozen_values_.find(name);
    if (frozen != frozen_values_.end()) return *frozen->second;
  }
  return values_;
}

std::optional<ValueStore::Value> ValueStore::Read(const Reader& reader, const std::string& key,
                                                  std::uint64_t after,
                                                  std::chrono::milliseconds wait,
                                                  bool* key_exists) {
  std::unique_lock<std::mutex> lock(mutex_);
  std::optional<Value> result;
  const auto is_read_over = [&] {
    const Values& values = VisibleTo(reader);
    const auto found = values.find(key);
    *key_exists = found != values.end();
    if (*key_exists && found->second.revision > after) result = found->second;
    return result.has_value() || is_down_;
  };
  ++counts_.waiting;
  UpdateCounts();
  values_changed_.wait_for(lock, wait, is_read_over);
  --counts_.waiting;
  ++counts_.reads;
  recent_reads_.push_back(std::chrono::steady_clock::now());
  UpdateCounts();
  return is_down_ ? std::nullopt : result;
}

void ValueStore::Freeze(const std::string& reader) {
  const std::lock_guard<std::mutex> lock(mutex_);
  frozen_values_[reader] = std::make_shared<const Values>(values_);
}

void ValueStore::Thaw(const std::string& reader) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (reader.empty()) {
    frozen_values_.clear();
  } else {
    frozen_values_.erase(reader);
  }
  values_changed_.notify_all();
}

void ValueStore::SetDown(bool down) {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_down_ = down;
  values_changed_.notify_all();
}

bool ValueStore::IsDown() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return is_down_;
}

ValueStore::Counts ValueStore::Count() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return UpdateCounts();
}

ValueStore::Counts ValueStore::UpdateCounts() {
  const auto window_start = std::chrono::steady_clock::now() - std::chrono::seconds(1);
  while (!recent_reads_.empty() && recent_reads_.front() < window_start) recent_reads_.pop_front();
  counts_.load = recent_reads_.size() + counts_.waiting;
  counts_.highest_load = std::max(counts_.highest_load, counts_.load);
  return counts_;
}

}  // namespace primroseweir::standin
