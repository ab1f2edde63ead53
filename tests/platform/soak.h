#ifndef PRIMROSEWEIR_TESTS_PLATFORM_SOAK_H_
#define PRIMROSEWEIR_TESTS_PLATFORM_SOAK_H_

#include <signal.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "platform_site.h"
#include "primroseweir/base/random.h"
#include "support/relay.h"
#include "wire/http_reader.h"
#include "wire/socket.h"

namespace primroseweir::testing {

// Runs a site of real processes under random faults from outside them, and checks what callers and
// upstreams see: bookings run at most once, "not run" is true, answers are whole and belong to
// their request, and after the faults everything is served with the newest configuration.
class Soak {
 public:
  Soak(std::uint64_t seed, Duration time)
      : random_(seed), time_(time), site_(kInstances, kStoreRelayPort) {
    relays_.push_back(std::make_unique<Relay>(site_.At(1, kStoreRelayPort),
                                              site_.At(1, PlatformSite::kStorePort)));
    for (int i = 0; i < kUpstreams; ++i) {
      const auto listed = site_.At(100 + i, kUpstreamRelayPort);
      relays_.push_back(std::make_unique<Relay>(listed, site_.At(100 + i, 9000)));
      site_.AddUpstream(UpstreamName(i), i % 2 == 0 ? "reads" : "bookings", i, 10,
                        i % 4 < 2 ? "dc0" : "dc1", listed.ToString());
    }
    site_.Configure(version_);
    for (int i = 0; i < kInstances; ++i) {
      if (!site_.WaitReady(i)) {
        violations_.push_back("instance not ready at the start");
      }
    }
  }

  // Answers what was broken; empty when all promises were kept.
  std::vector<std::string> Run() {
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i, seed = random_.Below(1'000'000)] { CallOn(i, seed); });
    }
    const auto end = MonotonicNow() + time_;
    while (MonotonicNow() < end) {
      StartFault();
      EndFaults(MonotonicNow());
      std::this_thread::sleep_for(std::chrono::milliseconds(50 + random_.Below(250)));
    }
    EndFaults(Instant::max());
    CheckServed();
    stop_ = true;
    for (auto& caller : callers) {
      caller.join();
    }
    CheckLedger();
    return violations_;
  }

  std::uint64_t calls() const { return calls_; }
  const std::string& history() const { return history_; }

 private:
  static constexpr int kInstances = 4;
  static constexpr int kUpstreams = 8;
  static constexpr int kCallers = 5;
  static constexpr int kStoreRelayPort = 7005;
  static constexpr int kUpstreamRelayPort = 9100;
  static constexpr Duration kRecovery = std::chrono::seconds(12);

  static std::string UpstreamName(int number) { return "u" + std::to_string(number); }

  void Note(const std::string& what) { history_ += what + "\n"; }
  void Violate(const std::string& what) {
    const std::lock_guard<std::mutex> lock(mutex_);
    violations_.push_back(what);
  }

  // ---- faults ----

  Duration Some(int most_ms) {
    return std::chrono::milliseconds(50 + random_.Below(static_cast<std::uint64_t>(most_ms)));
  }
  void EndAfter(Duration time, std::function<void()> undo) {
    undo_.emplace(MonotonicNow() + time, std::move(undo));
  }
  void EndFaults(Instant now) {
    while (!undo_.empty() && undo_.begin()->first <= now) {
      const auto undo = std::move(undo_.begin()->second);
      undo_.erase(undo_.begin());
      undo();
    }
  }

  void StartFault() {
    static constexpr void (Soak::*kFaults[])() = {
        &Soak::KillInstance, &Soak::StopInstance, &Soak::PauseInstance, &Soak::ReloadInstance,
        &Soak::StoreDown,    &Soak::StoreHistory, &Soak::Configure,     &Soak::Declare,
        &Soak::Misbehave,    &Soak::Misbehave,    &Soak::Leave,         &Soak::Silence,
        &Soak::Cut};
    (this->*kFaults[random_.Below(std::size(kFaults))])();
  }

  int AnyInstance() { return static_cast<int>(random_.Below(kInstances)); }
  std::string AnyUpstream() { return UpstreamName(static_cast<int>(random_.Below(kUpstreams))); }

  void KillInstance() {
    const int instance = AnyInstance();
    if (down_[instance]) {
      return;
    }
    Note("kill " + std::to_string(instance));
    down_[instance] = true;
    site_.Instance(instance).Kill();
    EndAfter(Some(800), [this, instance] { Restart(instance); });
  }
  void StopInstance() {
    const int instance = AnyInstance();
    if (down_[instance]) {
      return;
    }
    Note("stop " + std::to_string(instance));
    down_[instance] = true;
    site_.Instance(instance).Signal(SIGTERM);
    EndAfter(std::chrono::milliseconds(3200), [this, instance] {
      if (!site_.Instance(instance).WaitForExit(std::chrono::seconds(2)).has_value()) {
        Violate("an instance did not end within its grace");
      }
      Restart(instance);
    });
  }
  void Restart(int instance) {
    site_.StartInstance(instance);
    down_[instance] = false;
  }
  void PauseInstance() {
    const int instance = AnyInstance();
    if (down_[instance]) {
      return;
    }
    Note("pause " + std::to_string(instance));
    down_[instance] = true;
    site_.Instance(instance).Pause();
    EndAfter(Some(1500), [this, instance] {
      site_.Instance(instance).Continue();
      down_[instance] = false;
    });
  }
  void ReloadInstance() {
    const int instance = AnyInstance();
    if (!down_[instance]) {
      Note("reload " + std::to_string(instance));
      site_.Instance(instance).Signal(SIGHUP);
    }
  }
  void StoreDown() {
    Note("store down");
    site_.Do("/down", {{"for", "all"}});
    EndAfter(Some(1500), [this] { site_.Do("/down", {{"for", "no"}}); });
  }
  void StoreHistory() {
    Note("store forgets");
    site_.Do("/compact");
  }
  void Configure() {
    ++version_;
    Note("configure " + std::to_string(version_));
    site_.Configure(version_);
  }
  void Declare() {
    const std::string zone = random_.Below(2) == 0 ? "dc0" : "dc1";
    Note("out " + zone);
    site_.Do("/put", {{"key", "op/evacuate/" + zone}, {"value", "1"}});
    EndAfter(Some(1500), [this, zone] { site_.Do("/erase", {{"key", "op/evacuate/" + zone}}); });
  }
  void Misbehave() {
    static const std::vector<std::string> kModes = {"refuse", "fail", "reset", "silent"};
    const auto upstream = AnyUpstream();
    const auto& mode = kModes[random_.Below(kModes.size())];
    Note(upstream + " " + mode);
    site_.Do("/mode", {{"id", upstream}, {"mode", mode}});
    EndAfter(Some(1500), [this, upstream] {
      site_.Do("/mode", {{"id", upstream}, {"mode", "ok"}});
    });
  }
  void Leave() {
    const auto upstream = AnyUpstream();
    Note(upstream + " leaves");
    site_.Do("/state", {{"id", upstream}, {"state", "draining"}});
    EndAfter(Some(1500), [this, upstream] {
      site_.Do("/state", {{"id", upstream}, {"state", "ready"}});
    });
  }
  void Silence() {
    const auto relay = random_.Below(relays_.size());
    Note("relay " + std::to_string(relay) + " silent");
    relays_[relay]->SetSilent(true);
    EndAfter(Some(1500), [this, relay] { relays_[relay]->SetSilent(false); });
  }
  void Cut() {
    const auto relay = random_.Below(relays_.size());
    Note("relay " + std::to_string(relay) + " cut");
    relays_[relay]->SetCut(true);
    EndAfter(Some(1000), [this, relay] { relays_[relay]->SetCut(false); });
  }

  // ---- callers ----

  void CallOn(int caller, std::uint64_t seed) {
    Random random(seed);
    std::unique_ptr<standins::Socket> socket;
    std::unique_ptr<standins::HttpReader> reader;
    for (int number = 0; !stop_; ++number) {
      const bool keep = caller % 2 == 0;
      if (!keep || socket == nullptr) {
        reader.reset();
        socket = Connect(static_cast<int>(random.Below(kInstances)));
        reader = socket == nullptr ? nullptr
                                   : std::make_unique<standins::HttpReader>(
                                         socket.get(), standins::HttpReader::Kind::kResponses);
      }
      if (socket == nullptr) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        continue;
      }
      const auto id = std::to_string(caller) + "-" + std::to_string(number);
      if (!CallOnce(socket.get(), reader.get(), id, random.Below(2) == 0)) {
        socket.reset();
      }
      // Refusals come at once; without a pause the callers would take all cores from other tests.
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  std::unique_ptr<standins::Socket> Connect(int instance) {
    auto socket = standins::Socket::Connect(site_.Callers(instance),
                                            MonotonicNow() + std::chrono::milliseconds(500));
    return socket.ok() ? std::make_unique<standins::Socket>(*std::move(socket)) : nullptr;
  }

  // Answers whether the connection can be used again.
  bool CallOnce(standins::Socket* socket, standins::HttpReader* reader, const std::string& id,
                bool booking) {
    ++calls_;
    if (booking) {
      const std::lock_guard<std::mutex> lock(mutex_);
      bookings_.insert(id);
    }
    const std::string target = (booking ? "/book/" : "/read/") + id;
    standins::HttpHead head;
    head.method = booking ? "POST" : "GET";
    head.target = target;
    head.fields = {{"Host", "desk"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "1500"}};
    const std::string body = booking ? "b" + id : "";
    if (booking) {
      head.fields.push_back({"Content-Length", std::to_string(body.size())});
    }
    const auto deadline = MonotonicNow() + std::chrono::milliseconds(2500);
    if (!socket->WriteAll(standins::FormatRequest(head) + body, deadline).ok()) {
      return false;
    }
    const auto response = reader->ReadHead(deadline, true);
    if (!response.ok()) {
      return false;
    }
    const auto content = reader->ReadBody(deadline);
    if (!content.ok()) {
      return false;
    }
    const std::string own = head.method + " " + target + " " + body + " at ";
    if (response->status == 200 && content->compare(0, own.size(), own) != 0) {
      Violate("answer of another request for " + id + ": " + *content);
    }
    if (booking &&
        (response->status == 503 || response->status == 421 || response->status == 429)) {
      const std::lock_guard<std::mutex> lock(mutex_);
      not_executed_.push_back(id);
    }
    return response->Value("Connection") != "close";
  }

  // ---- checks ----

  void CheckServed() {
    Configure();
    for (int i = 0; i < kInstances; ++i) {
      const bool served = WaitUntil(
          [&] {
            return site_.Status(i, "GET", "/read/end", "end" + std::to_string(i)) == 200 &&
                   site_.Status(i, "POST", "/book/end", "endb" + std::to_string(ends_++)) == 200 &&
                   !site_
                        .LogLine(i, {"event=state_in_force",
                                     "configuration=" + std::to_string(version_)})
                        .empty();
          },
          kRecovery);
      if (!served) {
        const auto log = site_.Instance(i).Log();
        Violate("instance " + std::to_string(i) + " does not serve after the faults: read " +
                std::to_string(site_.Status(i, "GET", "/read/end", "endr")) + ", booking " +
                std::to_string(site_.Status(i, "POST", "/book/end", "ends")) + ", running " +
                std::to_string(site_.Instance(i).Running()) + "\n" + StateLines(log));
      }
    }
  }

  // The last lines of a log about the store, the peers and the state.
  static std::string StateLines(const std::string& log) {
    std::istringstream lines(log);
    std::string result;
    for (std::string line; std::getline(lines, line);) {
      const bool state = line.find("event=store") != std::string::npos ||
                         line.find("event=peer") != std::string::npos ||
                         line.find("event=state") != std::string::npos ||
                         line.find("event=started") != std::string::npos ||
                         line.find("event=suspended") != std::string::npos;
      result += state ? line + "\n" : "";
    }
    constexpr std::size_t kMost = 5000;
    return result.substr(result.size() > kMost ? result.size() - kMost : 0);
  }

  void CheckLedger() {
    std::map<std::string, int> runs;
    std::istringstream ledger(site_.Do("/ledger"));
    std::string id;
    for (int count = 0; ledger >> id >> count;) {
      runs[id] = count;
    }
    for (const auto& [request, count] : runs) {
      if (count > 1 && bookings_.count(request) != 0) {
        Violate("booking " + request + " ran " + std::to_string(count) + " times");
      }
    }
    for (const auto& request : not_executed_) {
      if (runs.count(request) != 0) {
        Violate("booking " + request + " ran, though it was called not run");
      }
    }
  }

  Random random_;
  const Duration time_;
  PlatformSite site_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::multimap<Instant, std::function<void()>> undo_;
  std::map<int, bool> down_;
  int version_ = 1;
  int ends_ = 0;
  std::atomic<bool> stop_{false};
  std::atomic<std::uint64_t> calls_{0};
  std::mutex mutex_;
  std::set<std::string> bookings_;
  std::vector<std::string> not_executed_;
  std::vector<std::string> violations_;
  std::string history_;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_PLATFORM_SOAK_H_
