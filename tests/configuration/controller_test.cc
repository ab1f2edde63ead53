#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "primroseweir/base/event_log.h"
#include "primroseweir/base/random.h"
#include "primroseweir/configuration/configuration_controller.h"

namespace primroseweir {
namespace {

using std::chrono::seconds;

ConfigurationValue MakeValue(std::uint64_t revision, const std::string& text) {
  return {Revision(revision), text};
}

std::string TextWithService(const std::string& service) {
  return "{\"services\":[{\"name\":\"" + service + "\"}]}";
}

std::string PartText(const std::string& data_centre, const std::vector<std::string>& ids) {
  std::string text = "{\"upstreams\":[";
  for (const std::string& id : ids) {
    text += (text.back() == '[' ? "" : ",") + std::string("{\"id\":\"") + id +
            "\",\"service\":\"a\",\"data_centre\":\"" + data_centre +
            "\",\"address\":\"127.0.0.1:70\",\"slots\":1,\"connections\":1,\"state\":\"live\"}";
  }
  return text + "]}";
}

std::string ListIds(const ConfigurationSnapshot& snapshot) {
  std::string ids;
  for (const auto& upstream : snapshot.upstreams) ids += upstream.id.value() + " ";
  return ids;
}

int CountEvents(const EventLog& events, const std::string& name) {
  const auto all = events.EventsAfter(0);
  return static_cast<int>(std::count_if(all.begin(), all.end(),
                                        [&](const Event& event) { return event.name == name; }));
}

struct Fixture {
  EventLog events{"test"};
  ConfigurationController controller{&events};
  Instant now{seconds(100)};
};

// Guards against a stale read of the platform or an outdated peer that reverts an accepted text.
TEST_CASE("a value with a lower or equal revision is not adopted", "[config-in-force]") {
  Fixture f;
  f.controller.Offer({{"text", MakeValue(5, TextWithService("new"))}}, f.now);
  f.controller.Offer({{"text", MakeValue(4, TextWithService("old"))}}, f.now);
  f.controller.Offer({{"text", MakeValue(5, TextWithService("other"))}}, f.now);
  CHECK(f.controller.Current()->services[0].name.value() == "new");
  CHECK(f.controller.Current()->revision == Revision(5));
}

// Guards against a returned data centre that is taken out of service again by an earlier
// declaration that arrives late.
TEST_CASE("an earlier declaration that arrives late is not adopted", "[config-in-force]") {
  Fixture f;
  f.controller.Offer({{"declarations", MakeValue(3, R"({"out":["krems"]})")}}, f.now);
  f.controller.Offer({{"declarations", MakeValue(9, R"({"out":[]})")}}, f.now);
  f.controller.Offer({{"declarations", MakeValue(3, R"({"out":["krems"]})")}}, f.now);
  CHECK(f.controller.Current()->data_centres_out.empty());
}

// Guards against an invalid text that removes services or is validated again on each read.
TEST_CASE("a rejected value leaves the configuration unchanged and is logged once",
          "[config-in-force]") {
  Fixture f;
  f.controller.Offer({{"text", MakeValue(1, TextWithService("a"))}}, f.now);
  const auto before = f.controller.Current();
  for (int i = 0; i < 3; ++i) {
    f.controller.Offer({{"text", MakeValue(2, "{\"services\":[]}")}}, f.now);
  }
  CHECK(f.controller.Current() == before);
  CHECK(CountEvents(f.events, "configuration_rejected") == 1);
  REQUIRE(f.controller.Rejections().size() == 1);
  CHECK(f.controller.Rejections()[0].errors[0].problem == "no service");
  CHECK(f.controller.ValuesAfter(Revision()).at("text").revision == Revision(1));
  f.controller.Offer({{"text", MakeValue(3, TextWithService("b"))}}, f.now);
  CHECK(f.controller.Current()->services[0].name.value() == "b");
  CHECK(f.controller.Rejections().empty());
}

// Guards against a valid value that is ignored because an invalid one with a higher revision
// arrived before it.
TEST_CASE("a valid value below a rejected revision is adopted", "[config-in-force]") {
  Fixture f;
  f.controller.Offer({{"text", MakeValue(7, "broken")}}, f.now);
  f.controller.Offer({{"text", MakeValue(6, TextWithService("a"))}}, f.now);
  CHECK(f.controller.Current()->revision == Revision(6));
  CHECK(f.controller.Rejections().size() == 1);
}

// Returns a value of a random key with this revision, invalid in one case out of four.
ConfigurationValues RandomValue(Random* random, std::uint64_t revision) {
  const bool faulty = random->UniformBelow(4) == 0;
  switch (random->UniformBelow(4)) {
    case 0:
      return {{"text", MakeValue(revision,
                                 faulty ? "{" : TextWithService("s" + std::to_string(revision)))}};
    case 1:
      return {{"declarations",
               MakeValue(revision,
                         faulty ? "{}" : "{\"out\":[\"d" + std::to_string(revision) + "\"]}")}};
    case 2:
      return {{"instances", MakeValue(revision, faulty ? "[]" : R"({"parts":["krems"]})")}};
    default:
      return {{"instances/krems",
               MakeValue(revision,
                         faulty ? "{}" : PartText("krems", {"u" + std::to_string(revision)}))}};
  }
}

bool IsFaulty(const std::string& text) { return text == "{" || text == "{}" || text == "[]"; }

// Guards against instances that end up with different configurations because values, duplicates and
// stale values arrived in different orders. The reference is the maximum valid revision of each
// key.
TEST_CASE("values offered in any order give the highest valid revision of each key",
          "[config-in-force]") {
  Random random(20261205);
  for (int round = 0; round < 200; ++round) {
    std::vector<ConfigurationValues> offers;
    std::map<std::string, std::uint64_t> highest;
    for (std::uint64_t revision = 1; revision <= 12; ++revision) {
      offers.push_back(RandomValue(&random, revision));
      const auto& [key, value] = *offers.back().begin();
      if (!IsFaulty(value.text)) highest[key] = revision;
      if (random.UniformBelow(3) == 0) offers.push_back(offers[random.UniformBelow(offers.size())]);
    }
    for (std::size_t i = offers.size(); i > 1; --i)
      std::swap(offers[i - 1], offers[random.UniformBelow(i)]);
    Fixture f;
    Revision last;
    for (const auto& offer : offers) {
      f.controller.Offer(offer, f.now);
      REQUIRE(f.controller.Current()->revision >= last);
      last = f.controller.Current()->revision;
    }
    std::map<std::string, std::uint64_t> found;
    for (const auto& [key, value] : f.controller.ValuesAfter(Revision())) {
      found[key] = value.revision.value();
    }
    REQUIRE(found == highest);
  }
}

// Guards against a fleet that loses a revision while its instances are replaced one by one and the
// platform is stale: each new instance must adopt the highest revision that platform and peers
// offer.
TEST_CASE("replacing instances in any order keeps the highest revision", "[config-in-force]") {
  Random random(20261206);
  const ConfigurationValues stale = {{"text", MakeValue(2, TextWithService("stale"))}};
  const ConfigurationValues present = {{"text", MakeValue(8, TextWithService("present"))}};
  for (int round = 0; round < 50; ++round) {
    EventLog events("test");
    std::vector<std::unique_ptr<ConfigurationController>> fleet;
    for (int i = 0; i < 5; ++i) {
      fleet.push_back(std::make_unique<ConfigurationController>(&events));
      fleet.back()->Offer(present, Instant());
    }
    for (int step = 0; step < 20; ++step) {
      const std::size_t replaced = random.UniformBelow(fleet.size());
      fleet[replaced] = std::make_unique<ConfigurationController>(&events);
      const std::size_t peer =
          (replaced + 1 + random.UniformBelow(fleet.size() - 1)) % fleet.size();
      const bool platform_first = random.UniformBelow(2) == 0;
      if (platform_first) fleet[replaced]->Offer(stale, Instant());
      fleet[replaced]->Offer(fleet[peer]->ValuesAfter(Revision()), Instant());
      if (!platform_first) fleet[replaced]->Offer(stale, Instant());
    }
    for (const auto& instance : fleet) {
      REQUIRE(instance->Current()->services[0].name.value() == "present");
    }
  }
}

// Guards against calls that fail for lack of upstreams while the list is being divided into parts.
TEST_CASE("dividing the list keeps its upstreams until the parts are read", "[config-in-force]") {
  Fixture f;
  f.controller.Offer({{"instances", MakeValue(1, PartText("krems", {"a", "b"}))}}, f.now);
  f.controller.Offer({{"instances", MakeValue(2, R"({"parts":["krems","melk"]})")}}, f.now);
  CHECK(ListIds(*f.controller.Current()) == "a b ");
  f.controller.Offer({{"instances/melk", MakeValue(3, PartText("melk", {"c"}))}}, f.now);
  CHECK(ListIds(*f.controller.Current()) == "a b c ");
  f.controller.Offer({{"instances/krems", MakeValue(4, PartText("krems", {"a"}))}}, f.now);
  CHECK(ListIds(*f.controller.Current()) == "a c ");
  CHECK(f.controller.Current()->instances_revision == Revision(4));
}

TEST_CASE("upstreams of a part that the list no longer names are removed") {
  Fixture f;
  f.controller.Offer({{"instances", MakeValue(1, R"({"parts":["krems","melk"]})")},
                      {"instances/krems", MakeValue(2, PartText("krems", {"a"}))},
                      {"instances/melk", MakeValue(3, PartText("melk", {"b"}))}},
                     f.now);
  f.controller.Offer({{"instances", MakeValue(4, R"({"parts":["melk"]})")}}, f.now);
  CHECK(ListIds(*f.controller.Current()) == "b ");
}

// Guards against two instances whose highest revisions are equal although one lacks a value, so
// that neither requests it.
TEST_CASE("digests differ when revisions are equal but one instance lacks a value") {
  Fixture complete;
  Fixture partial;
  complete.controller.Offer({{"instances", MakeValue(3, PartText("krems", {"a"}))}}, complete.now);
  complete.controller.Offer({{"text", MakeValue(5, TextWithService("a"))}}, complete.now);
  partial.controller.Offer({{"text", MakeValue(5, TextWithService("a"))}}, partial.now);
  CHECK(complete.controller.Current()->revision == partial.controller.Current()->revision);
  CHECK(complete.controller.Current()->digest != partial.controller.Current()->digest);
  partial.controller.Offer(complete.controller.ValuesAfter(Revision()), partial.now);
  CHECK(complete.controller.Current()->digest == partial.controller.Current()->digest);
}

// Guards against a stale response that makes an instance treat its configuration as fresh after a
// pause of the process.
TEST_CASE("only the current or a newer revision counts as contact", "[config-in-force]") {
  Fixture f;
  f.controller.Offer({{"text", MakeValue(5, TextWithService("a"))}}, f.now);
  CHECK(f.controller.LastContact() == f.now);
  f.controller.RecordContact(Revision(4), f.now + seconds(1));
  f.controller.Offer({{"text", MakeValue(4, TextWithService("b"))}}, f.now + seconds(1));
  CHECK(f.controller.LastContact() == f.now);
  f.controller.RecordContact(Revision(5), f.now + seconds(2));
  CHECK(f.controller.LastContact() == f.now + seconds(2));
  f.controller.RecordContact(Revision(6), f.now + seconds(1));
  CHECK(f.controller.LastContact() == f.now + seconds(2));
}

// Guards against listeners that are notified of an older snapshot after a newer one.
TEST_CASE("listeners are called once for each change and in order of revision",
          "[config-in-force]") {
  Fixture f;
  std::vector<std::uint64_t> revisions;
  f.controller.AddListener([&revisions, &f](const auto& snapshot, Instant) {
    revisions.push_back(snapshot->revision.value());
    // A listener may call ValuesAfter(), for example to record patches for peers.
    if (f.controller.ValuesAfter(Revision()).empty()) std::abort();
  });
  std::vector<std::thread> threads;
  for (std::uint64_t t = 0; t < 4; ++t) {
    threads.emplace_back([&f, t] {
      for (std::uint64_t i = 1; i <= 50; ++i) {
        f.controller.Offer({{"text", MakeValue(4 * i + t, TextWithService("s"))}}, f.now);
      }
    });
  }
  for (auto& thread : threads) thread.join();
  CHECK(std::is_sorted(revisions.begin(), revisions.end()));
  CHECK(std::adjacent_find(revisions.begin(), revisions.end()) == revisions.end());
  CHECK(revisions.back() == 203);
}

TEST_CASE("values with unknown keys are ignored") {
  Fixture f;
  f.controller.Offer({{"other", MakeValue(9, "{}")}, {"instances/Bad", MakeValue(9, "{}")}}, f.now);
  CHECK(f.controller.Current()->revision == Revision());
  CHECK(f.events.EventsAfter(0).empty());
}

}  // namespace
}  // namespace primroseweir
