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

// Three members with the real MembershipTable and the real merge of observations, on a network that
// loses and reorders messages. A step of time is one second, in which each running member sends one
// message. Members 0 and 2 share a seat; member 2 is the younger.
class GossipModel {
 public:
  static constexpr std::size_t kMembers = 3;
  // A message may be delivered in the step in which it was sent or in the next one.
  static constexpr int kMessageLife = 2;
  static constexpr std::uint32_t kSlots = 4;

  enum class Kind { kStep, kDeliver, kPause, kRestart, kRaiseEpoch, kGrowWindow };
  struct Action {
    Kind kind = Kind::kStep;
    std::size_t index = 0;
  };

  GossipModel() {
    for (std::size_t i = 0; i < kMembers; ++i) Begin(i);
    // Everybody knows everybody, so that no exploration is spent on the introduction.
    for (std::size_t i = 0; i < kMembers; ++i) {
      for (std::size_t j = 0; j < kMembers; ++j) Introduce(i, j);
    }
  }

  // What may happen next.
  std::vector<Action> Actions() const {
    std::vector<Action> actions = {{Kind::kStep, 0}};
    for (std::size_t i = 0; i < messages_.size(); ++i) actions.push_back({Kind::kDeliver, i});
    for (std::size_t i = 0; i < kMembers; ++i) {
      actions.push_back({Kind::kPause, i});
      if (members_[i].runs < 3) actions.push_back({Kind::kRestart, i});
    }
    actions.push_back({Kind::kRaiseEpoch, 0});
    actions.push_back({Kind::kRaiseEpoch, 1});
    actions.push_back({Kind::kGrowWindow, 1});
    actions.push_back({Kind::kGrowWindow, 2});
    return actions;
  }

  // Performs an action; answers "" or the safety rule that it broke.
  std::string Perform(const Action& action) {
    switch (action.kind) {
      case Kind::kStep:
        Step();
        break;
      case Kind::kDeliver:
        Deliver(action.index);
        break;
      case Kind::kPause:
        Toggle(&members_[action.index]);
        break;
      case Kind::kRestart:
        Begin(action.index);
        break;
      case Kind::kRaiseEpoch:
        RaiseEpoch(action.index);
        break;
      case Kind::kGrowWindow:
        GrowWindow(action.index);
        break;
    }
    return BrokenRule();
  }

  // Wakes everybody and delivers every message for `steps` steps.
  std::string RunFairly(int steps) {
    for (Node& member : members_) member.paused = false;
    for (int i = 0; i < steps; ++i) {
      Step();
      while (!messages_.empty()) Deliver(0);
      const std::string broken = BrokenRule();
      if (!broken.empty()) return broken;
    }
    return "";
  }

  // "" when all members agree, else what differs.
  std::string Disagreement() const {
    for (std::size_t i = 0; i < kMembers; ++i) {
      for (std::size_t j = 0; j < kMembers; ++j) {
        if (StateAt(i, j, members_[j].incarnation) != MemberState::kAlive) {
          return Name(i) + " does not see " + Name(j) + " alive";
        }
        if (members_[i].window != members_[j].window) return "windows differ";
      }
      for (const Member& member : members_[i].table->View().members) {
        if (member.state == MemberState::kDead) continue;
        if (member.incarnation != Current(member.id)) return Name(i) + " keeps an ended run alive";
      }
    }
    if (members_[0].table->View().seat_taken == members_[2].table->View().seat_taken) {
      return "not exactly one of two members holds their seat";
    }
    return "";
  }

  // Equal for states that behave alike.
  std::string Fingerprint() const {
    std::string text;
    for (const Node& member : members_) {
      text += member.paused ? 'p' : 'r';
      text += std::to_string(member.paused_steps) + Text(member.table->OwnRecord());
      for (const MemberRecord& record : member.table->NewestFirst()) text += Text(record);
      for (const Member& other : member.table->View().members) {
        text += std::to_string(static_cast<int>(other.state)) +
                std::to_string(other.incarnation.value());
      }
      text += "w" + std::to_string(member.window.first) + "." +
              std::to_string(member.window.second) + "|";
    }
    for (const Message& message : messages_) {
      text += "m" + std::to_string(message.to) + std::to_string(message.life);
      for (const MemberRecord& record : message.records) text += Text(record);
      text += std::to_string(message.window.first) + "." + std::to_string(message.window.second);
    }
    return text + std::to_string(steps_ % 2);
  }

 private:
  // (epoch, window) of the one upstream.
  using Window = std::pair<std::uint64_t, std::uint32_t>;

  struct Node {
    std::optional<MembershipTable> table;
    Incarnation incarnation;
    Window window{0, 1};
    bool paused = false;
    int paused_steps = 0;
    int runs = 0;
    // Steps since this run heard each member directly or through others, counted while it ran.
    std::map<std::pair<std::string, std::uint64_t>, int> silent_steps;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> newest_heartbeat;
  };
  struct Message {
    std::size_t to = 0;
    int life = kMessageLife;
    std::vector<MemberRecord> records;
    Window window;
    int sent_at = 0;
  };

  static std::string Name(std::size_t index) {
    return std::string(1, static_cast<char>('a' + index));
  }

  static std::string Text(const MemberRecord& record) {
    return record.member.id.value() + std::to_string(record.member.incarnation.value()) + "h" +
           std::to_string(record.heartbeat) + "s" +
           std::to_string(static_cast<int>(record.member.state)) + "a" +
           std::to_string(ToMilliseconds(record.age)) + ",";
  }

  Instant Now() const { return Instant{} + std::chrono::seconds(steps_); }

  Incarnation Current(const InstanceId& id) const {
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

  void Begin(std::size_t index) {
    Node& node = members_[index];
    // The older of the two members with one seat stays the older one over restarts.
    node.incarnation =
        Incarnation((index == 2 ? 100 : 10 * (index + 1)) + static_cast<std::uint64_t>(node.runs));
    ++node.runs;
    Member self;
    self.id = InstanceId(Name(index));
    self.incarnation = node.incarnation;
    self.data_centre = DataCentre(index == 1 ? "melk" : "krems");
    self.peer_address = {"10.0.0." + std::to_string(index + 1), 9101};
    self.seat = Seat(index == 1 ? 1 : 0);
    node.table.emplace(self, Timeouts(), Now());
    node.silent_steps.clear();
    node.newest_heartbeat.clear();
    // A new run takes the windows from a peer, or starts with none.
    node.window = {0, 1};
    for (const Node& other : members_) {
      if (&other != &node && other.table && !other.paused) {
        node.window = std::max(node.window, other.window);
      }
    }
    node.paused = false;
  }

  void Introduce(std::size_t to, std::size_t of) {
    if (to == of) return;
    Take(to, members_[of].table->OwnRecord(), Duration::zero());
  }

  void Take(std::size_t to, const MemberRecord& record, Duration waited) {
    Node& node = members_[to];
    node.table->Receive(record, waited, Now());
    const auto key = std::make_pair(record.member.id.value(), record.member.incarnation.value());
    const auto [newest, first] = node.newest_heartbeat.emplace(key, record.heartbeat);
    if (!first && record.heartbeat <= newest->second) return;
    newest->second = record.heartbeat;
    const int age = static_cast<int>((ToMilliseconds(record.age + waited)) / 1'000);
    const auto silent = node.silent_steps.find(key);
    node.silent_steps[key] =
        silent == node.silent_steps.end() ? age : std::min(age, silent->second);
  }

  void Step() {
    ++steps_;
    for (Message& message : messages_) --message.life;
    messages_.erase(std::remove_if(messages_.begin(), messages_.end(),
                                   [](const Message& message) { return message.life <= 0; }),
                    messages_.end());
    for (std::size_t i = 0; i < kMembers; ++i) {
      Node& node = members_[i];
      if (node.paused) {
        ++node.paused_steps;
        continue;
      }
      node.paused_steps = 0;
      for (auto& [key, silent] : node.silent_steps) ++silent;
      node.table->Tick(Now());
      SendFrom(i, (i + 1 + static_cast<std::size_t>(steps_) % 2) % kMembers);
    }
  }

  void SendFrom(std::size_t from, std::size_t to) {
    Message message;
    message.to = to;
    message.records = members_[from].table->NewestFirst();
    message.records.insert(message.records.begin(), members_[from].table->OwnRecord());
    message.window = members_[from].window;
    message.sent_at = steps_;
    messages_.push_back(message);
  }

  void Deliver(std::size_t index) {
    const Message message = messages_[index];
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
    Node& node = members_[message.to];
    // The socket of a paused process keeps what arrives; here it is lost instead, which is worse.
    if (node.paused) return;
    const Duration waited = std::chrono::seconds(steps_ - message.sent_at);
    for (const MemberRecord& record : message.records) Take(message.to, record, waited);
    node.window = Merged(node.window, message.window);
  }

  static Window Merged(const Window& a, const Window& b) {
    UpstreamObservation first;
    first.epoch = Epoch(a.first);
    first.window = a.second;
    UpstreamObservation second;
    second.epoch = Epoch(b.first);
    second.window = b.second;
    const UpstreamObservation merged = MergeObservations(first, second);
    return {merged.epoch.value(), merged.window};
  }

  // A pause of a single step is not longer than the longest step between two calls, so the table
  // rightly counts it as listening; only longer ones are pauses here.
  static void Toggle(Node* node) {
    if (node->paused && node->paused_steps == 1) return;
    node->paused = !node->paused;
    node->paused_steps = 0;
  }

  void RaiseEpoch(std::size_t index) {
    Node& node = members_[index];
    if (node.paused || node.window.first >= 3) return;
    node.window = {node.window.first + 1, 1};
    greatest_[node.window.first] = std::max(greatest_[node.window.first], node.window.second);
  }

  void GrowWindow(std::size_t index) {
    Node& node = members_[index];
    if (node.paused || node.window.second >= kSlots) return;
    node.window.second *= 2;
    greatest_[node.window.first] = std::max(greatest_[node.window.first], node.window.second);
  }

  MemberState StateAt(std::size_t at, std::size_t of, Incarnation incarnation) const {
    for (const Member& member : members_[at].table->View().members) {
      if (member.id.value() == Name(of) && member.incarnation == incarnation) return member.state;
    }
    return MemberState::kDead;
  }

  // The safety rules of every state.
  std::string BrokenRule() const {
    for (std::size_t i = 0; i < kMembers; ++i) {
      const Node& node = members_[i];
      const auto greatest = greatest_.find(node.window.first);
      const std::uint32_t bound = greatest == greatest_.end() ? 1 : greatest->second;
      if (node.window.second > bound) return "a window is greater than anybody made it";
      if (node.table->View().members.front().state != MemberState::kAlive) {
        return "a running member does not take itself for alive";
      }
      for (const MemberRecord& record : node.table->NewestFirst()) {
        const std::size_t of = static_cast<std::size_t>(record.member.id.value()[0] - 'a');
        const Node& origin = members_[of];
        const bool same_run = record.member.incarnation == origin.incarnation;
        if (same_run && record.heartbeat > origin.table->OwnRecord().heartbeat) {
          return "a heartbeat is higher than its member's";
        }
      }
      const std::string wrong = WrongDeath(i);
      if (!wrong.empty()) return wrong;
    }
    return "";
  }

  // A member of the current run is dead only after three steps of silence heard while running.
  std::string WrongDeath(std::size_t at) const {
    const Node& node = members_[at];
    for (const Member& member : node.table->View().members) {
      if (member.state != MemberState::kDead || member.incarnation != Current(member.id)) continue;
      const auto silent = node.silent_steps.find({member.id.value(), member.incarnation.value()});
      if (silent != node.silent_steps.end() && silent->second < 3) {
        return Name(at) + " declared " + member.id.value() + " dead without listening";
      }
    }
    return "";
  }

  std::array<Node, kMembers> members_;
  std::vector<Message> messages_;
  // The greatest window anybody made, by epoch.
  std::map<std::uint64_t, std::uint32_t> greatest_;
  int steps_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_TESTS_MEMBERSHIP_GOSSIP_MODEL_H_
