#include "bench/choice/fake_upstream.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace primroseweir::bench {
namespace {

using std::chrono::milliseconds;

// A neighbour takes half of the machine for 10 ms in every 60 ms on average.
constexpr double kNoisySpeed = 0.5;
constexpr double kNoisyMeanMilliseconds = 10.0;
constexpr double kQuietMeanMilliseconds = 50.0;
// A call takes at least this part of the mean; the rest is exponential.
constexpr double kFixedPart = 0.4;

Duration FromMilliseconds(double value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

}  // namespace

FakeUpstream::FakeUpstream(const Options& options, std::uint64_t seed, EventQueue* queue,
                           Instant start)
    : options_(options), random_(seed), queue_(queue) {
  report_.written = start;
  queue_->At(start + FromMilliseconds(random_.Unit() * kQuietMeanMilliseconds),
             [this](Instant now) { ChangeNoise(now); });
  const double phase = random_.Unit();
  queue_->At(start + std::chrono::duration_cast<Duration>(options_.report_period * phase),
             [this](Instant now) { WriteReport(now); });
}

bool FakeUpstream::Submit(std::uint64_t number, Done done, Instant now) {
  if (in_flight() >= options_.refuse_above) return false;
  if (running_.size() < options_.slots) {
    Start(number, std::move(done), now);
  } else {
    waiting_.push_back({number, std::move(done)});
  }
  return true;
}

void FakeUpstream::Cancel(std::uint64_t number, Instant now) {
  if (running_.erase(number) > 0) {
    StartNext(now);
    return;
  }
  const auto is_call = [number](const Waiting& waiting) { return waiting.number == number; };
  waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), is_call), waiting_.end());
}

void FakeUpstream::Start(std::uint64_t number, Done done, Instant now) {
  running_.emplace(number, std::move(done));
  const double factor = kFixedPart + random_.Exponential(1.0 - kFixedPart);
  const double mean = std::chrono::duration<double, std::milli>(options_.service_time).count();
  queue_->At(now + FromMilliseconds(mean * factor / speed()),
             [this, number](Instant end) { Finish(number, end); });
}

void FakeUpstream::Finish(std::uint64_t number, Instant now) {
  const auto call = running_.find(number);
  if (call == running_.end()) return;
  const Done done = std::move(call->second);
  running_.erase(call);
  StartNext(now);
  done(now, report_);
}

void FakeUpstream::StartNext(Instant now) {
  if (waiting_.empty()) return;
  Waiting next = std::move(waiting_.front());
  waiting_.pop_front();
  Start(next.number, std::move(next.done), now);
}

void FakeUpstream::ChangeNoise(Instant now) {
  const bool quiet = noise_ < 1.0;
  noise_ = quiet ? 1.0 : kNoisySpeed;
  const double mean = quiet ? kQuietMeanMilliseconds : kNoisyMeanMilliseconds;
  queue_->At(now + FromMilliseconds(random_.Exponential(mean)),
             [this](Instant next) { ChangeNoise(next); });
}

void FakeUpstream::WriteReport(Instant now) {
  report_ = {in_flight(), now};
  queue_->At(now + options_.report_period, [this](Instant next) { WriteReport(next); });
}

}  // namespace primroseweir::bench
