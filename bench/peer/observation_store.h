#ifndef PRIMROSEWEIR_BENCH_PEER_OBSERVATION_STORE_H_
#define PRIMROSEWEIR_BENCH_PEER_OBSERVATION_STORE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/peer/observation_merge.h"
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

// Stand-in for the observation table of one instance. All upstreams are warm, and the next group of
// them gets fresh load reports with each call of NextReported, as under real traffic. Thread-safe.
class ObservationStore {
 public:
  void Fill(std::size_t upstreams) {
    for (std::size_t i = 0; i < upstreams; ++i) {
      UpstreamObservation observation;
      observation.id = UpstreamId("ice-board-" + std::to_string(i));
      observation.epoch = Epoch(1);
      observation.window = 6;
      observation.report = LoadReport{3, std::chrono::milliseconds(5), std::chrono::seconds(1)};
      index_[observation.id] = observations_.size();
      observations_.push_back(observation);
    }
  }

  // Returns the observations of the next `max_count` upstreams in round-robin order, their load
  // reports 20 ms old as if they had just arrived.
  std::vector<UpstreamObservation> NextReported(std::size_t max_count) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<UpstreamObservation> reported;
    const std::size_t count = std::min(max_count, observations_.size());
    for (std::size_t i = 0; i < count; ++i) {
      UpstreamObservation observation = observations_[next_index_++ % observations_.size()];
      if (observation.report) observation.report->age = std::chrono::milliseconds(20);
      reported.push_back(observation);
    }
    return reported;
  }

  std::vector<UpstreamObservation> All() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return observations_;
  }

  void Merge(const std::vector<UpstreamObservation>& received) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const UpstreamObservation& observation : received) {
      const auto [entry, inserted] = index_.emplace(observation.id, observations_.size());
      if (inserted) observations_.push_back(observation);
      UpstreamObservation& stored = observations_[entry->second];
      stored = MergeObservations(stored, observation);
    }
  }

  std::uint64_t EpochOf(std::size_t index) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return observations_[index].epoch.value();
  }

  // Returns an observation that starts a new warm-up of the first upstream, epoch 2 after epoch 1.
  static UpstreamObservation NewEpochObservation() {
    UpstreamObservation observation;
    observation.id = UpstreamId("ice-board-0");
    observation.epoch = Epoch(2);
    return observation;
  }

 private:
  std::mutex mutex_;
  std::vector<UpstreamObservation> observations_;
  std::unordered_map<UpstreamId, std::size_t> index_;
  std::size_t next_index_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BENCH_PEER_OBSERVATION_STORE_H_
