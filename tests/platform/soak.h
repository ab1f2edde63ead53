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
#include "soak_keys.h"
#include "soak_quota.h"
#include "support/relay.h"
#include "wire/http_reader.h"
#include "wire/socket.h"

namespace primroseweir::testing {

// Runs a site of real processes under random external faults, and checks what callers and upstreams
// observe: bookings are executed at most once, those reported as not executed were not, responses
// are complete and belong to their request, and after the faults all instances serve with the
// newest configuration. Each call has a key: of a customer, one that a later configuration
// withdraws, or an unknown one. Upstreams get the name of the key's customer and no key. One
// customer has a quota, which changes, and sends many times of it.
class Soak {
 public:
  // kWithoutStatements leaves out upstreams that state that they leave or ask for a pause: seeds
  // that failed before these were added keep their sequence of faults.
  enum class Faults { kAll, kWithoutStatements };

  Soak(std::uint64_t seed, Duration time, Faults faults = Faults::kAll)
      : seed_(seed),
        random_(seed),
        time_(time),
        faults_(faults),
        site_(kInstances, kStoreRelayPort) {
    relays_.push_back(std::make_unique<Relay>(site_.Address(1, kStoreRelayPort),
                                              site_.Address(1, PlatformSite::kStorePort)));
    for (int i = 0; i < kUpstreams; ++i) {
      const auto listed = site_.Address(100 + i, kUpstreamRelayPort);
      relays_.push_back(std::make_unique<Relay>(listed, site_.Address(100 + i, 9000)));
      site_.AddUpstream(UpstreamName(i), i % 2 == 0 ? "reads" : "bookings", i, 10,
                        i % 4 < 2 ? "dc0" : "dc1", listed.ToString());
    }
    site_.key = SoakKeys::kPermanentKey;
    PublishConfiguration();
    for (int i = 0; i < kInstances; ++i) {
      if (!site_.WaitUntilReady(i)) {
        violations_.push_back("instance did not become ready within 15 s");
      }
    }
  }

  // Injects faults for the whole time, and returns the violations found.
  std::vector<std::string> Run() {
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back(
          [this, i, seed = random_.UniformBelow(1'000'000)] { RunCaller(i, seed); });
    }
    for (std::uint64_t i = 0; i < kFloodingCallers; ++i) {
      callers.emplace_back([this, i] { RunFloodingCaller(i); });
    }
    const auto end = MonotonicNow() + time_;
    while (MonotonicNow() < end) {
      InjectFault();
      UndoFaults(MonotonicNow());
      std::this_thread::sleep_for(std::chrono::milliseconds(50 + random_.UniformBelow(250)));
    }
    UndoFaults(Instant::max());
    CheckRecovered();
    is_stopping_ = true;
    for (auto& caller : callers) {
      caller.join();
    }
    CheckExecutions();
    CheckCallers();
    return violations_;
  }

  std::uint64_t calls() const { return calls_; }
  // Number of calls above a quota.
  std::uint64_t refused_by_quota() const { return refused_by_quota_; }
  const std::string& fault_log() const { return fault_log_; }

 private:
  static constexpr int kInstances = 4;
  static constexpr int kUpstreams = 8;
  static constexpr int kCallers = 5;
  static constexpr std::uint64_t kFloodingCallers = 2;
  static constexpr int kStoreRelayPort = 7005;
  static constexpr int kUpstreamRelayPort = 9100;
  static constexpr Duration kRecoveryTimeout = std::chrono::seconds(12);

  void PublishConfiguration() {
    auto customers = keys_.CustomersOfVersion(configuration_version_);
    customers.push_back(SoakQuota::RecordOfVersion(configuration_version_));
    quota_.RecordVersion(configuration_version_, MonotonicNow());
    site_.Configure(configuration_version_, "reads", customers);
    keys_.RecordVersion(configuration_version_, MonotonicNow());
  }

  static std::string UpstreamName(int number) { return "u" + std::to_string(number); }

  void RecordFault(const std::string& what) { fault_log_ += what + "\n"; }
  void RecordViolation(const std::string& what) {
    const std::lock_guard<std::mutex> lock(mutex_);
    violations_.push_back(what);
  }

  // ---- faults ----

  Duration RandomTime(int range_ms) {
    return std::chrono::milliseconds(50 +
                                     random_.UniformBelow(static_cast<std::uint64_t>(range_ms)));
  }
  void ScheduleUndo(Duration time, std::function<void()> undo) {
    pending_undos_.emplace(MonotonicNow() + time, std::move(undo));
  }
  void UndoFaults(Instant now) {
    while (!pending_undos_.empty() && pending_undos_.begin()->first <= now) {
      const auto undo = std::move(pending_undos_.begin()->second);
      pending_undos_.erase(pending_undos_.begin());
      undo();
    }
  }

  void InjectFault() {
    static constexpr void (Soak::*kFaults[])() = {&Soak::KillInstance,
                                                  &Soak::StopInstance,
                                                  &Soak::PauseInstance,
                                                  &Soak::ReloadInstance,
                                                  &Soak::MakeStoreUnavailable,
                                                  &Soak::CompactStore,
                                                  &Soak::Configure,
                                                  &Soak::TakeDataCentreOut,
                                                  &Soak::InjectUpstreamFault,
                                                  &Soak::InjectUpstreamFault,
                                                  &Soak::DrainUpstream,
                                                  &Soak::SilenceRelay,
                                                  &Soak::CutRelay,
                                                  &Soak::ReplaceUpstream};
    const auto count = std::size(kFaults) - (faults_ == Faults::kWithoutStatements ? 1 : 0);
    (this->*kFaults[random_.UniformBelow(count)])();
  }

  int RandomInstance() { return static_cast<int>(random_.UniformBelow(kInstances)); }
  std::string RandomUpstream() {
    return UpstreamName(static_cast<int>(random_.UniformBelow(kUpstreams)));
  }

  void KillInstance() {
    const int instance = RandomInstance();
    if (is_down_[instance]) {
      return;
    }
    RecordFault("kill " + std::to_string(instance));
    is_down_[instance] = true;
    site_.Instance(instance).Kill();
    ScheduleUndo(RandomTime(800), [this, instance] { Restart(instance); });
  }
  void StopInstance() {
    const int instance = RandomInstance();
    if (is_down_[instance]) {
      return;
    }
    RecordFault("stop " + std::to_string(instance));
    is_down_[instance] = true;
    site_.Instance(instance).Signal(SIGTERM);
    ScheduleUndo(std::chrono::milliseconds(3200), [this, instance] {
      if (!site_.Instance(instance).WaitForExit(std::chrono::seconds(2)).has_value()) {
        RecordViolation("an instance did not exit within its grace period");
      }
      Restart(instance);
    });
  }
  void Restart(int instance) {
    site_.StartInstance(instance);
    is_down_[instance] = false;
  }
  void PauseInstance() {
    const int instance = RandomInstance();
    if (is_down_[instance]) {
      return;
    }
    RecordFault("pause " + std::to_string(instance));
    is_down_[instance] = true;
    site_.Instance(instance).Pause();
    ScheduleUndo(RandomTime(1500), [this, instance] {
      site_.Instance(instance).Continue();
      is_down_[instance] = false;
    });
  }
  void ReloadInstance() {
    const int instance = RandomInstance();
    if (!is_down_[instance]) {
      RecordFault("reload " + std::to_string(instance));
      site_.Instance(instance).Signal(SIGHUP);
    }
  }
  void MakeStoreUnavailable() {
    RecordFault("store down");
    site_.SendCommand("/down", {{"for", "all"}});
    ScheduleUndo(RandomTime(1500), [this] { site_.SendCommand("/down", {{"for", "no"}}); });
  }
  void CompactStore() {
    RecordFault("store compacts its history");
    site_.SendCommand("/compact");
  }
  void Configure() {
    ++configuration_version_;
    RecordFault("configure " + std::to_string(configuration_version_));
    PublishConfiguration();
  }
  void TakeDataCentreOut() {
    const std::string zone = random_.UniformBelow(2) == 0 ? "dc0" : "dc1";
    RecordFault("data centre out: " + zone);
    site_.SendCommand("/put", {{"key", "op/evacuate/" + zone}, {"value", "1"}});
    ScheduleUndo(RandomTime(1500), [this, zone] {
      site_.SendCommand("/erase", {{"key", "op/evacuate/" + zone}});
    });
  }
  void InjectUpstreamFault() {
    static const std::vector<std::string> kModes = {"refuse", "fail", "reset", "silent", "pause"};
    const auto upstream = RandomUpstream();
    const auto count = kModes.size() - (faults_ == Faults::kWithoutStatements ? 1 : 0);
    const auto& mode = kModes[random_.UniformBelow(count)];
    RecordFault(upstream + " " + mode);
    site_.SendCommand("/mode", {{"id", upstream}, {"mode", mode}});
    ScheduleUndo(RandomTime(1500), [this, upstream] {
      site_.SendCommand("/mode", {{"id", upstream}, {"mode", "ok"}});
    });
  }
  void DrainUpstream() {
    const auto upstream = RandomUpstream();
    RecordFault(upstream + " leaves");
    site_.SendCommand("/state", {{"id", upstream}, {"state", "draining"}});
    ScheduleUndo(RandomTime(1500), [this, upstream] {
      site_.SendCommand("/state", {{"id", upstream}, {"state", "ready"}});
    });
  }
  // The upstream states in its responses that it leaves, and returns as a new process.
  void ReplaceUpstream() {
    const auto upstream = RandomUpstream();
    RecordFault(upstream + " is replaced");
    site_.SendCommand("/mode", {{"id", upstream}, {"mode", "leave"}});
    ScheduleUndo(RandomTime(1500), [this, upstream] {
      site_.SendCommand("/restart", {{"id", upstream}});
    });
  }
  void SilenceRelay() {
    const auto relay = random_.UniformBelow(relays_.size());
    RecordFault("relay " + std::to_string(relay) + " silent");
    relays_[relay]->SetSilent(true);
    ScheduleUndo(RandomTime(1500), [this, relay] { relays_[relay]->SetSilent(false); });
  }
  void CutRelay() {
    const auto relay = random_.UniformBelow(relays_.size());
    RecordFault("relay " + std::to_string(relay) + " cut");
    relays_[relay]->SetCut(true);
    ScheduleUndo(RandomTime(1000), [this, relay] { relays_[relay]->SetCut(false); });
  }

  // ---- callers ----

  void RunCaller(int caller, std::uint64_t seed) {
    Random random(seed);
    std::unique_ptr<standins::Socket> socket;
    std::unique_ptr<standins::HttpReader> reader;
    for (int number = 0; !is_stopping_; ++number) {
      const bool reuse_connection = caller % 2 == 0;
      if (!reuse_connection || socket == nullptr) {
        reader.reset();
        socket = Connect(static_cast<int>(random.UniformBelow(kInstances)));
        reader = socket == nullptr ? nullptr
                                   : std::make_unique<standins::HttpReader>(
                                         socket.get(), standins::HttpReader::Kind::kResponses);
      }
      if (socket == nullptr) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        continue;
      }
      const auto id = std::to_string(caller) + "-" + std::to_string(number);
      const bool is_booking = random.UniformBelow(2) == 0;
      const auto key = keys_.Draw(&random, MonotonicNow());
      if (!SendCall(socket.get(), reader.get(), id, is_booking, key)) {
        socket.reset();
      }
      // Refusals return at once; without a pause the callers would occupy all cores and slow down
      // other tests.
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  // Alternates each second at random between about 4 and up to 200 calls a second. Its numbers are
  // drawn apart, so that the seeds keep their sequence of faults.
  void RunFloodingCaller(std::uint64_t caller) {
    Random random(seed_ * kFloodingCallers + caller);
    bool is_flooding = true;
    auto next_draw = MonotonicNow();
    for (int number = 0; !is_stopping_; ++number) {
      if (MonotonicNow() >= next_draw) {
        is_flooding = random.UniformBelow(4) != 0;
        next_draw = MonotonicNow() + std::chrono::seconds(1);
      }
      const auto socket = Connect(static_cast<int>(random.UniformBelow(kInstances)));
      if (socket != nullptr) {
        standins::HttpReader reader(socket.get(), standins::HttpReader::Kind::kResponses);
        const auto id =
            SoakQuota::kRequestPrefix + std::to_string(caller) + "-" + std::to_string(number);
        SendCall(socket.get(), &reader, id, false, SoakQuota::KeyUse());
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(is_flooding ? 5 : 250));
    }
  }

  std::unique_ptr<standins::Socket> Connect(int instance) {
    auto socket = standins::Socket::Connect(site_.CallerAddress(instance),
                                            MonotonicNow() + std::chrono::milliseconds(500));
    return socket.ok() ? std::make_unique<standins::Socket>(*std::move(socket)) : nullptr;
  }

  // Returns whether the connection can be reused.
  bool SendCall(standins::Socket* socket, standins::HttpReader* reader, const std::string& id,
                bool is_booking, const SoakKeys::Use& key) {
    ++calls_;
    keys_.RecordUse(id, key);
    if (is_booking) {
      const std::lock_guard<std::mutex> lock(mutex_);
      booking_ids_.insert(id);
    }
    const std::string target = (is_booking ? "/book/" : "/read/") + id;
    standins::HttpHead head;
    head.method = is_booking ? "POST" : "GET";
    head.target = target;
    head.fields = {{"Host", "desk"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "1500"}};
    head.fields.push_back({"Authorization", "Token " + SoakKeys::KeyOf(key)});
    head.fields.push_back({"x-tenant", "forged"});
    const std::string body = is_booking ? "b" + id : "";
    if (is_booking) {
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
    const std::string expected_prefix = head.method + " " + target + " " + body + " at ";
    if (response->status == 200 &&
        content->compare(0, expected_prefix.size(), expected_prefix) != 0) {
      RecordViolation("response of another request for " + id + ": " + *content);
    }
    if (response->status == 401) {
      if (key.kind == SoakKeys::Kind::kPermanent) {
        RecordViolation("a valid key was refused for " + id);
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      not_executed_.push_back(id);
    }
    refused_by_quota_ += response->status == 429 ? 1 : 0;
    if (response->status == 429 ||
        (is_booking && (response->status == 503 || response->status == 421))) {
      const std::lock_guard<std::mutex> lock(mutex_);
      not_executed_.push_back(id);
    }
    return response->Value("Connection") != "close";
  }

  // ---- checks ----

  void CheckRecovered() {
    Configure();
    for (int i = 0; i < kInstances; ++i) {
      const bool served = WaitUntil(
          [&] {
            return site_.CallStatus(i, "GET", "/read/end", "end" + std::to_string(i)) == 200 &&
                   site_.CallStatus(i, "POST", "/book/end",
                                    "endb" + std::to_string(final_booking_number_++)) == 200 &&
                   !site_
                        .WaitForLogLine(i,
                                        {"event=state_in_force",
                                         "configuration=" + std::to_string(configuration_version_)})
                        .empty();
          },
          kRecoveryTimeout);
      if (!served) {
        const auto log = site_.Instance(i).Log();
        RecordViolation(
            "instance " + std::to_string(i) +
            " does not serve after the faults: status of a read " +
            std::to_string(site_.CallStatus(i, "GET", "/read/end", "endr")) + ", booking " +
            std::to_string(site_.CallStatus(i, "POST", "/book/end", "ends")) + ", running " +
            std::to_string(site_.Instance(i).Running()) + "\n" + StateLines(log));
      }
    }
  }

  // Returns the last lines of a log about the store, the peers, the serving state, starts and
  // suspensions, up to 5000 bytes.
  static std::string StateLines(const std::string& log) {
    std::istringstream lines(log);
    std::string result;
    for (std::string line; std::getline(lines, line);) {
      const bool is_relevant = line.find("event=store") != std::string::npos ||
                               line.find("event=peer") != std::string::npos ||
                               line.find("event=state") != std::string::npos ||
                               line.find("event=started") != std::string::npos ||
                               line.find("event=suspended") != std::string::npos;
      result += is_relevant ? line + "\n" : "";
    }
    constexpr std::size_t kMaxBytes = 5000;
    return result.substr(result.size() > kMaxBytes ? result.size() - kMaxBytes : 0);
  }

  void CheckExecutions() {
    std::map<std::string, int> executions;
    std::istringstream execution_counts(site_.SendCommand("/ledger"));
    std::string id;
    for (int count = 0; execution_counts >> id >> count;) {
      executions[id] = count;
    }
    for (const auto& [request, count] : executions) {
      if (count > 1 && booking_ids_.count(request) != 0) {
        RecordViolation("booking " + request + " was executed " + std::to_string(count) + " times");
      }
    }
    for (const auto& request : not_executed_) {
      if (executions.count(request) != 0) {
        RecordViolation("booking " + request +
                        " was executed, although the response reported it as not executed");
      }
    }
  }

  void CheckCallers() {
    for (const auto& violation :
         keys_.FindViolations(site_.SendCommand("/callers"), site_.SendCommand("/ledger"))) {
      RecordViolation(violation);
    }
    for (const auto& violation : quota_.FindViolations(site_.SendCommand("/first-executions"))) {
      RecordViolation(violation);
    }
  }

  const std::uint64_t seed_;
  Random random_;
  const Duration time_;
  const Faults faults_;
  PlatformSite site_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::multimap<Instant, std::function<void()>> pending_undos_;
  std::map<int, bool> is_down_;
  int configuration_version_ = 1;
  SoakKeys keys_;
  SoakQuota quota_;
  int final_booking_number_ = 0;
  std::atomic<bool> is_stopping_{false};
  std::atomic<std::uint64_t> calls_{0};
  std::atomic<std::uint64_t> refused_by_quota_{0};
  std::mutex mutex_;
  std::set<std::string> booking_ids_;
  std::vector<std::string> not_executed_;
  std::vector<std::string> violations_;
  std::string fault_log_;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_PLATFORM_SOAK_H_
