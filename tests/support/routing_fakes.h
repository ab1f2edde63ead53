#ifndef PRIMROSEWEIR_TESTS_SUPPORT_ROUTING_FAKES_H_
#define PRIMROSEWEIR_TESTS_SUPPORT_ROUTING_FAKES_H_

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/configuration/configuration_snapshot.h"
#include "primroseweir/routing/call_request.h"
#include "primroseweir/routing/router.h"
#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir::test {

inline const char* const kService = "ice-board";

// Returns the record of an upstream of kService.
inline UpstreamRecord MakeRecord(const std::string& id, const std::string& data_centre = "krems",
                                 std::uint32_t slots = 6) {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.service = ServiceName(kService);
  record.data_centre = DataCentre(data_centre);
  record.address = {"127.0.0.1", 7001};
  record.slots = slots;
  record.connections = 260;
  record.probe_target = "/probe";
  record.probe_cost = std::chrono::milliseconds(6);
  return record;
}

inline std::shared_ptr<ConfigurationSnapshot> MakeSnapshot(
    std::vector<UpstreamRecord> upstreams, std::set<DataCentre> data_centres_out = {}) {
  auto snapshot = std::make_shared<ConfigurationSnapshot>();
  snapshot->services.push_back({ServiceName(kService), {}, ServiceCallKind::kIdempotent});
  snapshot->upstreams = std::move(upstreams);
  snapshot->data_centres_out = std::move(data_centres_out);
  return snapshot;
}

inline CallRequest MakeRequest(Instant deadline, std::uint64_t fingerprint = 0) {
  CallRequest request;
  request.service = ServiceName(kService);
  request.deadline = deadline;
  request.fingerprint = fingerprint;
  return request;
}

inline CallResult Answered(Duration time_to_head) {
  CallResult result;
  result.time_to_head = time_to_head;
  return result;
}

inline CallResult Ended(AttemptEnd outcome) {
  CallResult result;
  result.outcome = outcome;
  return result;
}

// Several routers that exchange all observations in one step, as the membership does within a
// gossip period. During a network partition, only routers on the same side exchange them.
class RouterFleet {
 public:
  RouterFleet(std::size_t size, std::uint64_t seats) : seats_(seats) {
    for (std::size_t i = 0; i < size; ++i) Restart(i);
    sides_.resize(size, 0);
  }

  // Replaces a router by a new one without any state, as a restart of its process does.
  void Restart(std::size_t i) {
    Router::Options options;
    options.data_centre = DataCentre("krems");
    options.seat = Seat(i);
    options.seat_count = seats_;
    options.random_seed = i + 1;
    if (routers_.size() <= i) routers_.resize(i + 1);
    routers_[i] = std::make_unique<Router>(options, nullptr);
  }

  void Apply(const std::shared_ptr<ConfigurationSnapshot>& snapshot, Instant now) {
    for (auto& router : routers_) router->Apply(snapshot, now);
  }

  // Moves a router to one side of a network partition. Initially all routers are on side 0.
  void SetSide(std::size_t i, int side) { sides_[i] = side; }

  // Sets the live seats of each router to those on its side of the partition.
  void UpdateLiveSeats(Instant now) {
    for (std::size_t i = 0; i < routers_.size(); ++i)
      routers_[i]->SetLiveSeats(LiveSeatsFor(i), now);
  }

  // Runs one gossip round: each router merges the observations of the other routers on its side.
  void Gossip(Instant now) {
    for (std::size_t from = 0; from < routers_.size(); ++from) {
      const auto observations = routers_[from]->Observations(now);
      for (std::size_t to = 0; to < routers_.size(); ++to) {
        if (from != to && sides_[from] == sides_[to]) routers_[to]->Merge(observations, now);
      }
    }
  }

  Router& operator[](std::size_t i) { return *routers_[i]; }
  std::size_t size() const { return routers_.size(); }
  int side(std::size_t i) const { return sides_[i]; }

 private:
  std::set<Seat> LiveSeatsFor(std::size_t i) const {
    std::set<Seat> live;
    for (std::size_t j = 0; j < routers_.size(); ++j) {
      if (sides_[j] == sides_[i]) live.insert(Seat(j));
    }
    return live;
  }

  const std::uint64_t seats_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<int> sides_;
};

// Sends calls through one router until its windows at the upstreams are fully open: each of 40
// rounds, 112 ms apart, acquires as many leases as the router grants and finishes them with a
// response after 2 ms.
inline void WarmUp(Router* router, Instant* now) {
  for (int round = 0; round < 40; ++round) {
    *now += std::chrono::milliseconds(110);
    std::vector<UpstreamLease> leases;
    while (true) {
      auto lease = router->TryAcquire(MakeRequest(*now + std::chrono::seconds(1)), *now);
      if (!lease.ok()) break;
      leases.push_back(std::move(*lease));
    }
    *now += std::chrono::milliseconds(2);
    for (auto& lease : leases) lease.Finish(Answered(std::chrono::milliseconds(2)), *now);
  }
}

}  // namespace primroseweir::test

#endif  // PRIMROSEWEIR_TESTS_SUPPORT_ROUTING_FAKES_H_
