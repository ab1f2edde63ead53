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
#include "primroseweir/upstream/observation.h"

namespace primroseweir {

// A stand-in for the table of observations of one instance: all upstreams are warm and a window of
// them is reported anew each period, as traffic does it. Safe for several threads.
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

  // The next `limit` upstreams in turn, as if their reports had just arrived.
  std::vector<UpstreamObservation> Newest(std::size_t limit) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<UpstreamObservation> newest;
    const std::size_t count = std::min(limit, observations_.size());
    for (std::size_t i = 0; i < count; ++i) {
      UpstreamObservation observation = observations_[next_++ % observations_.size()];
      if (observation.report) observation.report->age = std::chrono::milliseconds(20);
      newest.push_back(observation);
    }
    return newest;
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
      UpstreamObservation& known = observations_[entry->second];
      known = MergeObservations(known, observation);
    }
  }

  std::uint64_t EpochOf(std::size_t upstream) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return observations_[upstream].epoch.value();
  }

  // The first upstream in a new warm-up.
  static UpstreamObservation NewEpoch() {
    UpstreamObservation observation;
    observation.id = UpstreamId("ice-board-0");
    observation.epoch = Epoch(2);
    return observation;
  }

 private:
  std::mutex mutex_;
  std::vector<UpstreamObservation> observations_;
  std::unordered_map<UpstreamId, std::size_t> index_;
  std::size_t next_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BENCH_PEER_OBSERVATION_STORE_H_
