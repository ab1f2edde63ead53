#ifndef PRIMROSEWEIR_TESTS_MEMBERSHIP_GOSSIP_MODEL_H_
#define PRIMROSEWEIR_TESTS_MEMBERSHIP_GOSSIP_MODEL_H_

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "primroseweir/membership/membership_table.h"
#include "primroseweir/peer/observation_merge.h"

namespace primroseweir {

// Model of three members that use the real MembershipTable and MergeObservations on a network that
// loses and reorders messages. One time step is one second, in which each running member sends one
// message. Members 0 and 2 share a seat; member 2 is the younger.
class GossipModel {
 public:
  static constexpr std::size_t kMembers = 3;
  // A message can be delivered in the step in which it was sent or in the next one.
  static constexpr int kMessageLifetimeSteps = 2;
  static constexpr std::uint32_t kMaxWindow = 4;

  enum class Kind { kStep, kDeliver, kPause, kRestart, kRaiseEpoch, kGrowWindow };
  struct Action {
    Kind kind = Kind::kStep;
    std::size_t index = 0;
  };

  GossipModel() {
    for (std::size_t i = 0; i < kMembers; ++i) StartIncarnation(i);
    // All members know each other at start, so that the exploration spends no steps on discovery.
    for (std::size_t i = 0; i < kMembers; ++i) {
      for (std::size_t j = 0; j < kMembers; ++j) Introduce(i, j);
    }
  }

  // Returns the actions that are possible in the current state.
  std::vector<Action> Actions() const {
    std::vector<Action> actions = {{Kind::kStep, 0}};
    for (std::size_t i = 0; i < messages_.size(); ++i) actions.push_back({Kind::kDeliver, i});
    for (std::size_t i = 0; i < kMembers; ++i) {
      actions.push_back({Kind::kPause, i});
      if (members_[i].incarnations_started < 3) actions.push_back({Kind::kRestart, i});
    }
    actions.push_back({Kind::kRaiseEpoch, 0});
    actions.push_back({Kind::kRaiseEpoch, 1});
    actions.push_back({Kind::kGrowWindow, 1});
    actions.push_back({Kind::kGrowWindow, 2});
    return actions;
  }

  // Performs an action. Returns "" or the invariant that it violated.
  std::string Perform(const Action& action) {
    switch (action.kind) {
      case Kind::kStep:
        Step();
        break;
      case Kind::kDeliver:
        Deliver(action.index);
        break;
      case Kind::kPause:
        TogglePause(&members_[action.index]);
        break;
      case Kind::kRestart:
        StartIncarnation(action.index);
        break;
      case Kind::kRaiseEpoch:
        RaiseEpoch(action.index);
        break;
      case Kind::kGrowWindow:
        GrowWindow(action.index);
        break;
    }
    return ViolatedInvariant();
  }

  // Resumes all members and delivers every message for `steps` steps. Returns "" or the violated
  // invariant.
  std::string RunWithoutFaults(int steps) {
    for (Node& member : members_) member.paused = false;
    for (int i = 0; i < steps; ++i) {
      Step();
      while (!messages_.empty()) Deliver(0);
      const std::string violation = ViolatedInvariant();
      if (!violation.empty()) return violation;
    }
    return "";
  }

  // Returns "" when all members agree, else a description of the difference.
  std::string FindDisagreement() const {
    for (std::size_t i = 0; i < kMembers; ++i) {
      for (std::size_t j = 0; j < kMembers; ++j) {
        if (StateAt(i, j, members_[j].incarnation) != MemberState::kAlive) {
          return Name(i) + " does not list " + Name(j) + " as alive";
        }
        if (members_[i].window != members_[j].window) return "windows differ";
      }
      for (const Member& member : members_[i].table->View().members) {
        if (member.state == MemberState::kDead) continue;
        if (member.incarnation != CurrentIncarnation(member.id))
          return Name(i) + " keeps an ended incarnation alive";
      }
    }
    if (members_[0].table->View().is_seat_taken == members_[2].table->View().is_seat_taken) {
      return "not exactly one of the two members with the same seat has seat_taken set";
    }
    return "";
  }

  // Returns a text that is equal for states with equal behaviour.
  std::string Fingerprint() const {
    std::string text;
    for (const Node& member : members_) {
      text += member.paused ? 'p' : 'r';
      text += std::to_string(member.paused_steps) + Serialize(member.table->SelfRecord());
      for (const MemberRecord& record : member.table->RecordsNewestFirst())
        text += Serialize(record);
      for (const Member& other : member.table->View().members) {
        text += std::to_string(static_cast<int>(other.state)) +
                std::to_string(other.incarnation.value());
      }
      text += "w" + std::to_string(member.window.first) + "." +
              std::to_string(member.window.second) + "|";
    }
    for (const Message& message : messages_) {
      text += "m" + std::to_string(message.to) + std::to_string(message.steps_left);
      for (const MemberRecord& record : message.records) text += Serialize(record);
      text += std::to_string(message.window.first) + "." + std::to_string(message.window.second);
    }
    return text + std::to_string(steps_ % 2);
  }

 private:
  // (epoch, window) of the only upstream.
  using Window = std::pair<std::uint64_t, std::uint32_t>;

  struct Node {
    std::optional<MembershipTable> table;
    Incarnation incarnation;
    Window window{0, 1};
    bool paused = false;
    int paused_steps = 0;
    int incarnations_started = 0;
    // Steps since the newest heartbeat of each (id, incarnation), received directly or forwarded.
    // Counts only steps in which this member was running.
    std::map<std::pair<std::string, std::uint64_t>, int> steps_since_heartbeat;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> newest_heartbeat;
  };
  struct Message {
    std::size_t to = 0;
    int steps_left = kMessageLifetimeSteps;
    std::vector<MemberRecord> records;
    Window window;
    int sent_at = 0;
  };

  static std::string Name(std::size_t index) {
    return std::string(1, static_cast<char>('a' + index));
  }

  static std::string Serialize(const MemberRecord& record) {
    return record.member.id.value() + std::to_string(record.member.incarnation.value()) + "h" +
           std::to_string(record.heartbeat) + "s" +
           std::to_string(static_cast<int>(record.member.state)) + "a" +
           std::to_string(ToMilliseconds(record.age)) + ",";
  }

  Instant Now() const { return Instant{} + std::chrono::seconds(steps_); }

  Incarnation CurrentIncarnation(const InstanceId& id) const {
    return members_[static_cast<std::size_t>(id.value()[0] - 'a')].incarnation;
  }

  static MembershipTimeouts Timeouts() {
    MembershipTimeouts timeouts;
    timeouts.suspect = std::chrono::seconds(2);
    timeouts.dead = std::chrono::seconds(3);
    timeouts.removed = std::chrono::seconds(4);
    timeouts.max_step = std::chrono::seconds(1);
    return timeouts;
  }

  void StartIncarnation(std::size_t index) {
    Node& node = members_[index];
    // Restarts do not change which of the two members with the same seat is the older one.
    node.incarnation = Incarnation((index == 2 ? 100 : 10 * (index + 1)) +
                                   static_cast<std::uint64_t>(node.incarnations_started));
    ++node.incarnations_started;
    Member self;
    self.id = InstanceId(Name(index));
    self.incarnation = node.incarnation;
    self.data_centre = DataCentre(index == 1 ? "melk" : "krems");
    self.peer_address = {"10.0.0." + std::to_string(index + 1), 9101};
    self.seat = Seat(index == 1 ? 1 : 0);
    node.table.emplace(self, Timeouts(), Now());
    node.steps_since_heartbeat.clear();
    node.newest_heartbeat.clear();
    // A new incarnation takes the greatest window of the running peers, or starts with {0, 1}.
    node.window = {0, 1};
    for (const Node& other : members_) {
      if (&other != &node && other.table && !other.paused) {
        node.window = std::max(node.window, other.window);
      }
    }
    node.paused = false;
  }

  void Introduce(std::size_t to, std::size_t subject) {
    if (to == subject) return;
    ReceiveRecord(to, members_[subject].table->SelfRecord(), Duration::zero());
  }

  void ReceiveRecord(std::size_t to, const MemberRecord& record, Duration waited) {
    Node& node = members_[to];
    node.table->Receive(record, waited, Now());
    const auto key = std::make_pair(record.member.id.value(), record.member.incarnation.value());
    const auto [newest, inserted] = node.newest_heartbeat.emplace(key, record.heartbeat);
    if (!inserted && record.heartbeat <= newest->second) return;
    newest->second = record.heartbeat;
    const int age = static_cast<int>((ToMilliseconds(record.age + waited)) / 1'000);
    const auto elapsed = node.steps_since_heartbeat.find(key);
    node.steps_since_heartbeat[key] =
        elapsed == node.steps_since_heartbeat.end() ? age : std::min(age, elapsed->second);
  }

  void Step() {
    ++steps_;
    for (Message& message : messages_) --message.steps_left;
    messages_.erase(std::remove_if(messages_.begin(), messages_.end(),
                                   [](const Message& message) { return message.steps_left <= 0; }),
                    messages_.end());
    for (std::size_t i = 0; i < kMembers; ++i) {
      Node& node = members_[i];
      if (node.paused) {
        ++node.paused_steps;
        continue;
      }
      node.paused_steps = 0;
      for (auto& [key, elapsed] : node.steps_since_heartbeat) ++elapsed;
      node.table->Tick(Now());
      SendFrom(i, (i + 1 + static_cast<std::size_t>(steps_) % 2) % kMembers);
    }
  }

  void SendFrom(std::size_t from, std::size_t to) {
    Message message;
    message.to = to;
    message.records = members_[from].table->RecordsNewestFirst();
    message.records.insert(message.records.begin(), members_[from].table->SelfRecord());
    message.window = members_[from].window;
    message.sent_at = steps_;
    messages_.push_back(message);
  }

  void Deliver(std::size_t index) {
    const Message message = messages_[index];
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
    Node& node = members_[message.to];
    // The socket of a paused process would buffer messages; the model loses them, which is worse.
    if (node.paused) return;
    const Duration waited = std::chrono::seconds(steps_ - message.sent_at);
    for (const MemberRecord& record : message.records) ReceiveRecord(message.to, record, waited);
    node.window = MergeWindows(node.window, message.window);
  }

  static Window MergeWindows(const Window& a, const Window& b) {
    UpstreamObservation first;
    first.epoch = Epoch(a.first);
    first.window = a.second;
    UpstreamObservation second;
    second.epoch = Epoch(b.first);
    second.window = b.second;
    const UpstreamObservation merged = MergeObservations(first, second);
    return {merged.epoch.value(), merged.window};
  }

  // A pause of one step cannot be ended here: it does not exceed `max_step`, so the table correctly
  // counts it as listening time. Only longer pauses are modelled.
  static void TogglePause(Node* node) {
    if (node->paused && node->paused_steps == 1) return;
    node->paused = !node->paused;
    node->paused_steps = 0;
  }

  void RaiseEpoch(std::size_t index) {
    Node& node = members_[index];
    if (node.paused || node.window.first >= 3) return;
    node.window = {node.window.first + 1, 1};
    greatest_windows_[node.window.first] =
        std::max(greatest_windows_[node.window.first], node.window.second);
  }

  void GrowWindow(std::size_t index) {
    Node& node = members_[index];
    if (node.paused || node.window.second >= kMaxWindow) return;
    node.window.second *= 2;
    greatest_windows_[node.window.first] =
        std::max(greatest_windows_[node.window.first], node.window.second);
  }

  MemberState StateAt(std::size_t observer, std::size_t subject, Incarnation incarnation) const {
    for (const Member& member : members_[observer].table->View().members) {
      if (member.id.value() == Name(subject) && member.incarnation == incarnation)
        return member.state;
    }
    return MemberState::kDead;
  }

  // Checks the invariants of every state. Returns "" or the violated one.
  std::string ViolatedInvariant() const {
    for (std::size_t i = 0; i < kMembers; ++i) {
      const Node& node = members_[i];
      const auto greatest = greatest_windows_.find(node.window.first);
      const std::uint32_t bound = greatest == greatest_windows_.end() ? 1 : greatest->second;
      if (node.window.second > bound)
        return "a window is greater than the greatest that any member set";
      if (node.table->View().members.front().state != MemberState::kAlive) {
        return "a running member does not list itself as alive";
      }
      for (const MemberRecord& record : node.table->RecordsNewestFirst()) {
        const std::size_t subject = static_cast<std::size_t>(record.member.id.value()[0] - 'a');
        const Node& origin = members_[subject];
        const bool same_incarnation = record.member.incarnation == origin.incarnation;
        if (same_incarnation && record.heartbeat > origin.table->SelfRecord().heartbeat) {
          return "a recorded heartbeat is higher than the member's own heartbeat";
        }
      }
      const std::string premature_death = PrematureDeath(i);
      if (!premature_death.empty()) return premature_death;
    }
    return "";
  }

  // A current incarnation may be dead only after three steps without its heartbeat, counted while
  // the observer was running. Returns "" or the violation.
  std::string PrematureDeath(std::size_t observer) const {
    const Node& node = members_[observer];
    for (const Member& member : node.table->View().members) {
      if (member.state != MemberState::kDead || member.incarnation != CurrentIncarnation(member.id))
        continue;
      const auto elapsed =
          node.steps_since_heartbeat.find({member.id.value(), member.incarnation.value()});
      if (elapsed != node.steps_since_heartbeat.end() && elapsed->second < 3) {
        return Name(observer) + " declared " + member.id.value() +
               " dead after less than 3 s of listening";
      }
    }
    return "";
  }

  std::array<Node, kMembers> members_;
  std::vector<Message> messages_;
  // The greatest window that any member set, by epoch.
  std::map<std::uint64_t, std::uint32_t> greatest_windows_;
  int steps_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_TESTS_MEMBERSHIP_GOSSIP_MODEL_H_
