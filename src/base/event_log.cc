#include "primroseweir/base/event_log.h"

#include <glog/logging.h>

#include "primroseweir/base/time.h"

namespace primroseweir {

EventLog::EventLog(std::string process, std::size_t capacity)
    : process_(std::move(process)), capacity_(capacity) {}

void EventLog::Emit(const std::string& name, Fields fields) {
  Event event;
  event.name = name;
  event.fields.emplace_back("process", process_);
  for (auto& field : fields) event.fields.push_back(std::move(field));
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    event.time = clock_.Tick(WallMicroseconds());
    event.sequence = next_sequence_++;
    ring_.push_back(event);
    if (ring_.size() > capacity_) ring_.pop_front();
  }
  LOG(INFO) << FormatEvent(event);
}

std::vector<Event> EventLog::EventsAfter(std::uint64_t sequence) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Event> events;
  for (const Event& event : ring_) {
    if (event.sequence > sequence) events.push_back(event);
  }
  return events;
}

void InitializeLogging(const char* program) {
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(program);
}

}  // namespace primroseweir
