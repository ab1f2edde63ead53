#include "upstream/upstream.h"

#include <nlohmann/json.hpp>

namespace primroseweir::standins {
namespace {

using Json = nlohmann::json;

Json ToJson(const SlotCounters& counters) {
  return {{"executed", counters.executed},
          {"refused", counters.refused},
          {"cancelled", counters.cancelled},
          {"max_running", counters.max_running},
          {"max_in_flight", counters.max_in_flight},
          {"cold_calls", counters.cold_calls},
          {"cold_max_in_flight", counters.cold_max_in_flight},
          {"cold_overruns", counters.cold_overruns},
          {"since_mark", counters.since_mark},
          {"last_after_mark_ms", counters.last_after_mark_ms}};
}

bool ConsumeOne(std::uint32_t* count) {
  if (*count == 0) return false;
  --*count;
  return true;
}

}  // namespace

Upstream::Upstream(const UpstreamSettings& settings)
    : settings_(settings),
      events_(settings.id),
      slots_(settings),
      connections_(settings.connections),
      random_(settings.seed) {}

UpstreamModes Upstream::modes() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return modes_;
}

absl::Status Upstream::UpdateModes(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return ChangeModes(text, &modes_);
}

Duration Upstream::DrawServiceTime() {
  double milliseconds = settings_.service_ms * slots_.ServiceTimeFactor();
  const std::lock_guard<std::mutex> lock(mutex_);
  milliseconds *= modes_.straggle;
  if (settings_.distribution == "exponential") milliseconds = random_.Exponential(milliseconds);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

bool Upstream::DrawBernoulli(double probability) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return probability > 0 && random_.UniformUnit() < probability;
}

bool Upstream::ConsumeCut() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return ConsumeOne(&modes_.cut_count);
}

bool Upstream::ConsumeLostResponse() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return ConsumeOne(&modes_.lose_answer_count);
}

std::string Upstream::FormatState() const {
  Json state = ToJson(slots_.Counters());
  const ConnectionCounters connections = connections_.Counters();
  state["id"] = settings_.id;
  state["cold"] = slots_.IsCold();
  state["in_flight"] = slots_.InFlight();
  state["probes"] = probes_.load();
  state["connections_accepted"] = connections.accepted;
  state["connections_open"] = connections.open;
  state["connections_max"] = connections.max_open;
  state["connections_over_limit"] = connections.over_limit;
  return state.dump();
}

std::string Upstream::FormatLedger() const {
  Json ledger = Json::object();
  for (const auto& [booking, entry] : ledger_.Entries()) {
    ledger[booking] = {{"executions", entry.executions}, {"max_running", entry.max_running}};
  }
  return ledger.dump();
}

}  // namespace primroseweir::standins
