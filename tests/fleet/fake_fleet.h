#ifndef TESTS_FLEET_FAKE_FLEET_H_
#define TESTS_FLEET_FAKE_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "primroseweir/fleet/fleet_table.h"

namespace primroseweir {

inline FleetMember MemberOf(const std::string& ip, const std::string& data_centre,
                            std::uint64_t incarnation = 100) {
  FleetMember member;
  member.ip = ip;
  member.data_centre = DataCentre(data_centre);
  member.incarnation = Incarnation(incarnation);
  return member;
}

// A fleet of FleetTables that exchange messages without a network.
class FakeFleet {
 public:
  void Add(const FleetMember& member) {
    tables_[member.ip] = std::make_unique<FleetTable>(member, std::hash<std::string>()(member.ip));
    heartbeat_count_[member.ip] = 0;
  }
  void Kill(const std::string& ip) { tables_.erase(ip); }
  FleetTable& At(const std::string& ip) { return *tables_.at(ip); }

  void Run(Duration time) {
    for (const auto end = now + time; now < end; now += FleetTable::kHeartbeatInterval) {
      for (auto& [ip, table] : tables_) {
        table->AdvanceHeartbeat(now);
        const auto targets = table->PickGossipTargets(heartbeat_count_[ip]++, now);
        for (const auto& target : targets.own_record_only) {
          Deliver(ip, target, {table->self()});
        }
        if (table->LivePeers(now).empty()) {
          Deliver(ip, kSeed, {table->self()});
        }
        for (const auto& [target, data_centre] : targets.heartbeats) {
          Deliver(ip, target, table->OwnRecords(now), table->HeartbeatsFor(data_centre, now));
        }
      }
    }
  }

  // Whether messages between two instances are delivered.
  std::function<bool(const std::string&, const std::string&)> is_connected =
      [](const auto&, const auto&) { return true; };
  Instant now = Instant(std::chrono::seconds(5000));
  // Bytes that each instance sent and received.
  std::map<std::string, std::size_t> bytes;
  static constexpr char kSeed[] = "10.0.0.1";

 private:
  // Delivers a message. The receiver requests the records that it lacks.
  void Deliver(const std::string& from, const std::string& to,
               const std::vector<FleetMember>& members,
               const std::vector<FleetHeartbeat>& heartbeats = {}, bool forwarded = false) {
    const auto target = tables_.find(to);
    if (target == tables_.end() || !is_connected(from, to)) {
      return;
    }
    CountBytes(from, to, members.size(), heartbeats.size(), 0);
    if (const auto earlier_incarnation = target->second->EarlierIncarnation(members.front())) {
      tables_.at(from)->Merge(*earlier_incarnation, now);
    }
    for (const auto& member : members) {
      if (target->second->Merge(member, now) && member.ip == from) {
        IntroducePeers(to, member);
      }
    }
    const auto changes = target->second->ReceiveHeartbeats(heartbeats, now);
    if (!changes.requested_records.empty() && is_connected(to, from)) {
      CountBytes(to, from, 1, 0, changes.requested_records.size());
      const auto records = tables_.at(from)->RecordsOf(changes.requested_records, now);
      Deliver(from, to, records);
    }
    auto& table = *target->second;
    const auto& sender = members.front();
    if (forwarded) {
      table.RecordForwarded(members[1].data_centre, now);
    } else if (!heartbeats.empty() && !table.IsLocal(sender) &&
               table.TryAcquireForwardTurn(sender.data_centre, now)) {
      for (const auto& local : table.LocalPeers(now)) {
        Deliver(to, local, {table.self(), sender}, table.HeartbeatsToForward(heartbeats), true);
      }
    }
  }

  // Sends store readers and heartbeats to an instance that was not live before, as FleetService
  // does.
  void IntroducePeers(const std::string& from, const FleetMember& member) {
    auto& table = *tables_.at(from);
    Deliver(from, member.ip, table.StoreReaderRecords(now),
            table.IsLocal(member) ? table.AllHeartbeats(now)
                                  : table.HeartbeatsFor(member.data_centre, now));
  }

  // Adds the size on the wire of a message with so many parts to the bytes of both instances.
  void CountBytes(const std::string& from, const std::string& to, std::size_t members,
                  std::size_t heartbeats, std::size_t requested_records) {
    constexpr std::size_t kIpUdpHeaderBytes = 28;
    constexpr std::size_t kMemberBytes = 60;
    constexpr std::size_t kHeartbeatBytes = 9;
    constexpr std::size_t kAddressBytes = 5;
    const auto size = kIpUdpHeaderBytes + members * kMemberBytes + heartbeats * kHeartbeatBytes +
                      requested_records * kAddressBytes;
    bytes[from] += size;
    bytes[to] += size;
  }

  std::map<std::string, std::unique_ptr<FleetTable>> tables_;
  std::map<std::string, std::uint64_t> heartbeat_count_;
};

inline std::string Ip(int number) { return "10.0.0." + std::to_string(number); }

inline FakeFleet FleetOf(int instances) {
  FakeFleet fleet;
  for (int i = 1; i <= instances; ++i) {
    fleet.Add(MemberOf(Ip(i), "dc" + std::to_string(i % 3)));
  }
  return fleet;
}

}  // namespace primroseweir

#endif  // TESTS_FLEET_FAKE_FLEET_H_
