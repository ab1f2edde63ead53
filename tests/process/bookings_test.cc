#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

using FaultFunction = void (*)(Site* site);

void LoseResponses(Site* site) {
  for (const std::string& id : site->UpstreamIds(kBookingService)) {
    site->Control(id, "/modes", R"({"lose_answer_count":5})");
  }
}

void FailAndRefuseCalls(Site* site) {
  for (const std::string& id : site->UpstreamIds(kBookingService)) {
    site->Control(id, "/modes", R"({"fail":0.2,"shed":0.2})");
  }
}

void StopReadingRequests(Site* site) {
  for (const std::string& id : site->UpstreamIds(kBookingService))
    site->Control(id, "/silence", "in");
}

void StopSendingResponses(Site* site) {
  for (const std::string& id : site->UpstreamIds(kBookingService))
    site->Control(id, "/silence", "out");
}

// Only the connections through the relays are closed; the upstreams keep running, so that their
// ledgers can still be read.
void CloseConnections(Site* site) {
  for (const std::string& id : site->UpstreamIds(kBookingService)) site->relay(id).SetCut(true);
  std::this_thread::sleep_for(milliseconds(300));
  for (const std::string& id : site->UpstreamIds(kBookingService)) site->relay(id).SetCut(false);
}

void PauseUpstream(Site* site) {
  site->upstream("bl-1").Pause();
  std::this_thread::sleep_for(seconds(2));
  site->upstream("bl-1").Continue();
}

void KillEntry(Site* site) { site->entry(0).Kill(); }

void PauseEntry(Site* site) {
  site->entry(0).Pause();
  std::this_thread::sleep_for(seconds(4));
  site->entry(0).Continue();
}

void PauseEntryAndDeclareDataCentreOut(Site* site) {
  site->entry(1).Pause();
  site->DeclareOut({"krems"});
  std::this_thread::sleep_for(seconds(4));
  site->entry(1).Continue();
}

struct NamedFault {
  const char* name;
  FaultFunction inject;
};

constexpr NamedFault kFaults[] = {
    {"responses lost", LoseResponses},
    {"failures and refusals", FailAndRefuseCalls},
    {"requests to the upstream not read", StopReadingRequests},
    {"responses to the entry instance not sent", StopSendingResponses},
    {"connections closed", CloseConnections},
    {"upstream paused", PauseUpstream},
    {"entry instance killed", KillEntry},
    {"entry instance paused", PauseEntry},
    {"entry instance paused, data centre out", PauseEntryAndDeclareDataCentreOut}};

// Guards against a booking that is executed twice, a booking that was executed although its caller
// received "not-run", and a confirmed booking that was never executed, while responses, connections
// or processes are lost.
TEST_CASE("a booking is executed at most once under each kind of fault",
          "[at-most-once][not-run]") {
  SitePlan site_plan = SmallPlan("bookings");
  site_plan.services[1].relay = true;
  site_plan.services[1].service_ms = 10;
  const NamedFault fault = GENERATE(from_range(std::begin(kFaults), std::end(kFaults)));
  CAPTURE(fault.name);
  Site site(site_plan);
  standins::LoadPlan plan = MakeReadLoadPlan(site, 60);
  plan.booking_share = 1;
  plan.concurrency = 16;
  plan.call_timeout = seconds(4);
  BackgroundLoad load(plan);
  REQUIRE(WaitUntil([&] { return site.Executions(kBookingService).size() > 30; }, seconds(10)));
  fault.inject(&site);
  std::this_thread::sleep_for(seconds(1));
  const auto result = load.Stop();
  std::cout << "loss=\"" << fault.name << "\" " << FormatKind("booking", result.at("booking"))
            << std::endl;
  // A booking may still be executing after its caller timed out.
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(FindLedgerMismatches(site, result.at("booking").bookings) == "");
  CHECK(result.at("booking").Of(Outcome::kCorrect) > result.at("booking").Count() / 2);
}

// Guards against a second execution when a caller retries a booking with the same call key.
TEST_CASE("a repeated call key returns the first response, also through another instance",
          "[at-most-once]") {
  Site site(SmallPlan("repeated-key"));
  const std::string key = AddressesOf(site, 0)["call_key_prefix"].get<std::string>() + ".repeat";
  const std::string target = std::string("/") + kBookingService + "/book/b";
  std::set<std::string> bodies;
  for (int i = 0; i < 6; ++i) {
    const auto response = Send(
        site.CallerAddress(i % 3), "POST", target,
        {{"Primroseweir-Call-Key", key}, {"Primroseweir-Attempt", std::to_string(i + 1)}}, "x");
    CHECK(response.head.status == 200);
    bodies.insert(response.body);
  }
  CHECK(bodies.size() == 1);
  CHECK(site.Executions(kBookingService)["b"] == 1);
}

// Guards against a "not-run" response to a call that was executed: the response to each single
// attempt is compared with the ledger while upstreams refuse calls, fail and lose responses, and
// after an entry instance is killed.
TEST_CASE("calls with outcome not-run were not executed, with and without a call key",
          "[not-run]") {
  Site site(SmallPlan("not-run"));
  for (const std::string& id : site.UpstreamIds(kBookingService)) {
    site.Control(id, "/modes", R"({"shed":0.5,"fail":0.2,"lose_answer_count":10})");
  }
  std::map<std::string, std::string> outcomes;
  const std::string prefix = AddressesOf(site, 0)["call_key_prefix"];
  for (int i = 0; i < 120; ++i) {
    const std::string booking = "n" + std::to_string(i);
    std::vector<HeaderField> fields;
    if (i % 2 == 0) {
      fields = {{"Primroseweir-Call-Key", prefix + "." + booking}, {"Primroseweir-Attempt", "1"}};
    }
    const auto response =
        Send(site.CallerAddress(i % 3), "POST",
             std::string("/") + kBookingService + "/book/" + booking, fields, "x");
    outcomes[booking] = OutcomeOf(response);
    if (i == 60) site.entry(0).Kill();
  }
  const auto executions = site.Executions(kBookingService);
  int not_executed = 0;
  int executed = 0;
  for (const auto& [booking, outcome] : outcomes) {
    INFO(booking << " " << outcome);
    const auto found = executions.find(booking);
    const int count = found == executions.end() ? 0 : found->second;
    CHECK(count <= 1);
    if (outcome == "not-run") CHECK(count == 0);
    if (outcome == "ran") CHECK(count == 1);
    not_executed += outcome == "not-run" ? 1 : 0;
    executed += outcome == "ran" ? 1 : 0;
  }
  CHECK(not_executed > 0);
  CHECK(executed > 0);
}

}  // namespace
}  // namespace primroseweir::testing
