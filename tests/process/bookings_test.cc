#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

using Loss = void (*)(Site* site);

void LoseResponses(Site* site) {
  for (const std::string& id : site->UpstreamIds(kBookings)) {
    site->Control(id, "/modes", R"({"lose_answer_count":5})");
  }
}

void FailAfterRun(Site* site) {
  for (const std::string& id : site->UpstreamIds(kBookings)) {
    site->Control(id, "/modes", R"({"fail":0.2,"shed":0.2})");
  }
}

void SilenceIn(Site* site) {
  for (const std::string& id : site->UpstreamIds(kBookings)) site->Control(id, "/silence", "in");
}

void SilenceOut(Site* site) {
  for (const std::string& id : site->UpstreamIds(kBookings)) site->Control(id, "/silence", "out");
}

// The upstream's port stays, so that the ledger can still be read.
void CutConnections(Site* site) {
  for (const std::string& id : site->UpstreamIds(kBookings)) site->relay(id).SetCut(true);
  std::this_thread::sleep_for(milliseconds(300));
  for (const std::string& id : site->UpstreamIds(kBookings)) site->relay(id).SetCut(false);
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

void PauseEntryAndTakeOut(Site* site) {
  site->entry(1).Pause();
  site->DeclareOut({"krems"});
  std::this_thread::sleep_for(seconds(4));
  site->entry(1).Continue();
}

struct NamedLoss {
  const char* name;
  Loss loss;
};

constexpr NamedLoss kLosses[] = {{"answers lost", LoseResponses},
                                 {"failures and refusals", FailAfterRun},
                                 {"silent towards the upstream", SilenceIn},
                                 {"silent towards the entry instance", SilenceOut},
                                 {"connections cut", CutConnections},
                                 {"upstream paused", PauseUpstream},
                                 {"entry instance killed", KillEntry},
                                 {"entry instance paused", PauseEntry},
                                 {"paused and data centre out", PauseEntryAndTakeOut}};

// Guards against a booking that runs twice, a booking that ran although the caller was told it did
// not, and a confirmed booking that never ran, whatever is lost on the way.
TEST_CASE("a booking runs at most once through every kind of loss", "[at-most-once][not-run]") {
  SitePlan site_plan = SmallPlan("bookings");
  site_plan.services[1].relay = true;
  site_plan.services[1].service_ms = 10;
  const NamedLoss loss = GENERATE(from_range(std::begin(kLosses), std::end(kLosses)));
  CAPTURE(loss.name);
  Site site(site_plan);
  standins::LoadPlan plan = ReadLoad(site, 60);
  plan.booking_share = 1;
  plan.concurrency = 16;
  plan.call_timeout = seconds(4);
  BackgroundLoad load(plan);
  REQUIRE(WaitUntil([&] { return site.Executions(kBookings).size() > 30; }, seconds(10)));
  loss.loss(&site);
  std::this_thread::sleep_for(seconds(1));
  const auto result = load.Stop();
  std::cout << "loss=\"" << loss.name << "\" " << FormatKind("booking", result.at("booking"))
            << std::endl;
  // A booking may still run after its caller gave up.
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(LedgerFaults(site, result.at("booking").bookings) == "");
  CHECK(result.at("booking").Of(CallOutcome::kCorrect) > result.at("booking").Count() / 2);
}

// Guards against a second execution for a caller that asks again for the same booking.
TEST_CASE("a repeated key gets the first answer, also through another instance", "[at-most-once]") {
  Site site(SmallPlan("repeated-key"));
  const std::string key = AddressesOf(site, 0)["call_key_prefix"].get<std::string>() + ".repeat";
  const std::string target = std::string("/") + kBookings + "/book/b";
  std::set<std::string> bodies;
  for (int i = 0; i < 6; ++i) {
    const auto response = Send(
        site.CallerAddress(i % 3), "POST", target,
        {{"Primroseweir-Call-Key", key}, {"Primroseweir-Attempt", std::to_string(i + 1)}}, "x");
    CHECK(response.head.status == 200);
    bodies.insert(response.body);
  }
  CHECK(bodies.size() == 1);
  CHECK(site.Executions(kBookings)["b"] == 1);
}

// Guards against "not run" for a call that ran: each answer to a single attempt is compared with
// the ledger while upstreams refuse, fail and restart.
TEST_CASE("not-run means not run, for calls with and without a key", "[not-run]") {
  Site site(SmallPlan("not-run"));
  for (const std::string& id : site.UpstreamIds(kBookings)) {
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
    const auto response = Send(site.CallerAddress(i % 3), "POST",
                               std::string("/") + kBookings + "/book/" + booking, fields, "x");
    outcomes[booking] = OutcomeOf(response);
    if (i == 60) site.entry(0).Kill();
  }
  const auto executions = site.Executions(kBookings);
  int not_executed = 0;
  int ran = 0;
  for (const auto& [booking, outcome] : outcomes) {
    INFO(booking << " " << outcome);
    const auto found = executions.find(booking);
    const int count = found == executions.end() ? 0 : found->second;
    CHECK(count <= 1);
    if (outcome == "not-run") CHECK(count == 0);
    if (outcome == "ran") CHECK(count == 1);
    not_executed += outcome == "not-run" ? 1 : 0;
    ran += outcome == "ran" ? 1 : 0;
  }
  CHECK(not_executed > 0);
  CHECK(ran > 0);
}

}  // namespace
}  // namespace primroseweir::testing
