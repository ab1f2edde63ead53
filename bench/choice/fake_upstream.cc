#include "bench/choice/fake_upstream.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace primroseweir::bench {
namespace {

using std::chrono::milliseconds;

// A noisy neighbour takes half of the machine for 10 ms in every 60 ms on average.
constexpr double kNoisySpeedFactor = 0.5;
constexpr double kNoisyMeanMilliseconds = 10.0;
constexpr double kQuietMeanMilliseconds = 50.0;
// A call takes at least this fraction of the mean service time; the rest is exponentially
// distributed.
constexpr double kMinServiceTimeFraction = 0.4;

Duration FromMilliseconds(double value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

}  // namespace

FakeUpstream::FakeUpstream(const Options& options, std::uint64_t seed, EventQueue* event_queue,
                           Instant start)
    : options_(options), random_(seed), event_queue_(event_queue) {
  report_.written_at = start;
  event_queue_->ScheduleAt(start + FromMilliseconds(random_.UniformUnit() * kQuietMeanMilliseconds),
                           [this](Instant now) { ToggleNoise(now); });
  const double phase_fraction = random_.UniformUnit();
  event_queue_->ScheduleAt(
      start + std::chrono::duration_cast<Duration>(options_.report_period * phase_fraction),
      [this](Instant now) { WriteReport(now); });
}

bool FakeUpstream::Submit(std::uint64_t call_id, CompletionCallback on_complete, Instant now) {
  if (in_flight() >= options_.max_calls) return false;
  if (running_calls_.size() < options_.slots) {
    StartCall(call_id, std::move(on_complete), now);
  } else {
    queued_calls_.push_back({call_id, std::move(on_complete)});
  }
  return true;
}

void FakeUpstream::Cancel(std::uint64_t call_id, Instant now) {
  if (running_calls_.erase(call_id) > 0) {
    StartNextQueued(now);
    return;
  }
  const auto is_call = [call_id](const QueuedCall& queued_call) {
    return queued_call.call_id == call_id;
  };
  queued_calls_.erase(std::remove_if(queued_calls_.begin(), queued_calls_.end(), is_call),
                      queued_calls_.end());
}

void FakeUpstream::StartCall(std::uint64_t call_id, CompletionCallback on_complete, Instant now) {
  running_calls_.emplace(call_id, std::move(on_complete));
  const double service_time_factor =
      kMinServiceTimeFraction + random_.Exponential(1.0 - kMinServiceTimeFraction);
  const double mean_milliseconds =
      std::chrono::duration<double, std::milli>(options_.service_time).count();
  event_queue_->ScheduleAt(
      now + FromMilliseconds(mean_milliseconds * service_time_factor / speed()),
      [this, call_id](Instant end) { FinishCall(call_id, end); });
}

void FakeUpstream::FinishCall(std::uint64_t call_id, Instant now) {
  const auto call = running_calls_.find(call_id);
  if (call == running_calls_.end()) return;
  const CompletionCallback on_complete = std::move(call->second);
  running_calls_.erase(call);
  StartNextQueued(now);
  on_complete(now, report_);
}

void FakeUpstream::StartNextQueued(Instant now) {
  if (queued_calls_.empty()) return;
  QueuedCall next = std::move(queued_calls_.front());
  queued_calls_.pop_front();
  StartCall(next.call_id, std::move(next.on_complete), now);
}

void FakeUpstream::ToggleNoise(Instant now) {
  const bool becomes_quiet = noise_speed_factor_ < 1.0;
  noise_speed_factor_ = becomes_quiet ? 1.0 : kNoisySpeedFactor;
  const double mean_milliseconds = becomes_quiet ? kQuietMeanMilliseconds : kNoisyMeanMilliseconds;
  event_queue_->ScheduleAt(now + FromMilliseconds(random_.Exponential(mean_milliseconds)),
                           [this](Instant next) { ToggleNoise(next); });
}

void FakeUpstream::WriteReport(Instant now) {
  report_ = {in_flight(), now};
  event_queue_->ScheduleAt(now + options_.report_period,
                           [this](Instant next) { WriteReport(next); });
}

}  // namespace primroseweir::bench
