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

ConfigurationValue Value(std::uint64_t revision, const std::string& text) {
  return {Revision(revision), text};
}

std::string TextNaming(const std::string& service) {
  return "{\"services\":[{\"name\":\"" + service + "\"}]}";
}

std::string Part(const std::string& data_centre, const std::vector<std::string>& ids) {
  std::string text = "{\"upstreams\":[";
  for (const std::string& id : ids) {
    text += (text.back() == '[' ? "" : ",") + std::string("{\"id\":\"") + id +
            "\",\"service\":\"a\",\"data_centre\":\"" + data_centre +
            "\",\"address\":\"127.0.0.1:70\",\"slots\":1,\"connections\":1,\"state\":\"live\"}";
  }
  return text + "]}";
}

std::string Ids(const ConfigurationSnapshot& snapshot) {
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

// Guards against a stale read of the platform or an older peer that takes an accepted text back.
TEST_CASE("a lower or equal revision changes nothing", "[config-in-force]") {
  Fixture f;
  f.controller.Offer({{"text", Value(5, TextNaming("new"))}}, f.now);
  f.controller.Offer({{"text", Value(4, TextNaming("old"))}}, f.now);
  f.controller.Offer({{"text", Value(5, TextNaming("other"))}}, f.now);
  CHECK(f.controller.Current()->services[0].name.value() == "new");
  CHECK(f.controller.Current()->revision == Revision(5));
}

// Guards against a returned data centre that a late copy of an earlier declaration takes out again.
TEST_CASE("an earlier declaration that arrives late changes nothing", "[config-in-force]") {
  Fixture f;
  f.controller.Offer({{"declarations", Value(3, R"({"out":["krems"]})")}}, f.now);
  f.controller.Offer({{"declarations", Value(9, R"({"out":[]})")}}, f.now);
  f.controller.Offer({{"declarations", Value(3, R"({"out":["krems"]})")}}, f.now);
  CHECK(f.controller.Current()->out.empty());
}

// Guards against a faulty text that removes services or is checked again on each read.
TEST_CASE("a rejected value changes nothing and is reported once", "[config-in-force]") {
  Fixture f;
  f.controller.Offer({{"text", Value(1, TextNaming("a"))}}, f.now);
  const auto before = f.controller.Current();
  for (int i = 0; i < 3; ++i) {
    f.controller.Offer({{"text", Value(2, "{\"services\":[]}")}}, f.now);
  }
  CHECK(f.controller.Current() == before);
  CHECK(CountEvents(f.events, "configuration_rejected") == 1);
  REQUIRE(f.controller.Rejections().size() == 1);
  CHECK(f.controller.Rejections()[0].errors[0].problem == "no service");
  CHECK(f.controller.ValuesAfter(Revision()).at("text").revision == Revision(1));
  f.controller.Offer({{"text", Value(3, TextNaming("b"))}}, f.now);
  CHECK(f.controller.Current()->services[0].name.value() == "b");
  CHECK(f.controller.Rejections().empty());
}

// Guards against a valid value that is lost because a higher, faulty one was seen before it.
TEST_CASE("a valid value below a rejected revision is adopted", "[config-in-force]") {
  Fixture f;
  f.controller.Offer({{"text", Value(7, "broken")}}, f.now);
  f.controller.Offer({{"text", Value(6, TextNaming("a"))}}, f.now);
  CHECK(f.controller.Current()->revision == Revision(6));
  CHECK(f.controller.Rejections().size() == 1);
}

// One key's values, some of them faulty, by revision.
ConfigurationValues RandomValue(Random* random, std::uint64_t revision) {
  const bool faulty = random->Below(4) == 0;
  switch (random->Below(4)) {
    case 0:
      return {{"text", Value(revision, faulty ? "{" : TextNaming("s" + std::to_string(revision)))}};
    case 1:
      return {
          {"declarations",
           Value(revision, faulty ? "{}" : "{\"out\":[\"d" + std::to_string(revision) + "\"]}")}};
    case 2:
      return {{"instances", Value(revision, faulty ? "[]" : R"({"parts":["krems"]})")}};
    default:
      return {{"instances/krems",
               Value(revision, faulty ? "{}" : Part("krems", {"u" + std::to_string(revision)}))}};
  }
}

bool IsFaulty(const std::string& text) { return text == "{" || text == "{}" || text == "[]"; }

// Guards against instances that end with different configurations because values, repeats, stale
// ones and restarts reached them in different orders. The naive rule is "keep the maximum".
TEST_CASE("any order of values ends in the highest valid revision of each key",
          "[config-in-force]") {
  Random random(20261205);
  for (int round = 0; round < 200; ++round) {
    std::vector<ConfigurationValues> offers;
    std::map<std::string, std::uint64_t> highest;
    for (std::uint64_t revision = 1; revision <= 12; ++revision) {
      offers.push_back(RandomValue(&random, revision));
      const auto& [key, value] = *offers.back().begin();
      if (!IsFaulty(value.text)) highest[key] = revision;
      if (random.Below(3) == 0) offers.push_back(offers[random.Below(offers.size())]);
    }
    for (std::size_t i = offers.size(); i > 1; --i)
      std::swap(offers[i - 1], offers[random.Below(i)]);
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

// Guards against a fleet that loses a revision while instances are replaced one by one in any order
// and the platform is stale: each new one takes the highest of what platform and peers offer.
TEST_CASE("restarts in any order keep the highest revision", "[config-in-force]") {
  Random random(20261206);
  const ConfigurationValues stale = {{"text", Value(2, TextNaming("stale"))}};
  const ConfigurationValues present = {{"text", Value(8, TextNaming("present"))}};
  for (int round = 0; round < 50; ++round) {
    EventLog events("test");
    std::vector<std::unique_ptr<ConfigurationController>> fleet;
    for (int i = 0; i < 5; ++i) {
      fleet.push_back(std::make_unique<ConfigurationController>(&events));
      fleet.back()->Offer(present, Instant());
    }
    for (int step = 0; step < 20; ++step) {
      const std::size_t replaced = random.Below(fleet.size());
      fleet[replaced] = std::make_unique<ConfigurationController>(&events);
      const std::size_t peer = (replaced + 1 + random.Below(fleet.size() - 1)) % fleet.size();
      const bool platform_first = random.Below(2) == 0;
      if (platform_first) fleet[replaced]->Offer(stale, Instant());
      fleet[replaced]->Offer(fleet[peer]->ValuesAfter(Revision()), Instant());
      if (!platform_first) fleet[replaced]->Offer(stale, Instant());
    }
    for (const auto& instance : fleet) {
      REQUIRE(instance->Current()->services[0].name.value() == "present");
    }
  }
}

// Guards against calls that find no upstream while a list is being divided into parts.
TEST_CASE("dividing the list never empties it", "[config-in-force]") {
  Fixture f;
  f.controller.Offer({{"instances", Value(1, Part("krems", {"a", "b"}))}}, f.now);
  f.controller.Offer({{"instances", Value(2, R"({"parts":["krems","melk"]})")}}, f.now);
  CHECK(Ids(*f.controller.Current()) == "a b ");
  f.controller.Offer({{"instances/melk", Value(3, Part("melk", {"c"}))}}, f.now);
  CHECK(Ids(*f.controller.Current()) == "a b c ");
  f.controller.Offer({{"instances/krems", Value(4, Part("krems", {"a"}))}}, f.now);
  CHECK(Ids(*f.controller.Current()) == "a c ");
  CHECK(f.controller.Current()->instances_revision == Revision(4));
}

TEST_CASE("a part that the list no longer names is not used") {
  Fixture f;
  f.controller.Offer({{"instances", Value(1, R"({"parts":["krems","melk"]})")},
                      {"instances/krems", Value(2, Part("krems", {"a"}))},
                      {"instances/melk", Value(3, Part("melk", {"b"}))}},
                     f.now);
  f.controller.Offer({{"instances", Value(4, R"({"parts":["melk"]})")}}, f.now);
  CHECK(Ids(*f.controller.Current()) == "b ");
}

// Guards against two instances that believe they agree because their highest revisions are equal.
TEST_CASE("the digest tells apart equal revisions with a missing value") {
  Fixture complete;
  Fixture partial;
  complete.controller.Offer({{"instances", Value(3, Part("krems", {"a"}))}}, complete.now);
  complete.controller.Offer({{"text", Value(5, TextNaming("a"))}}, complete.now);
  partial.controller.Offer({{"text", Value(5, TextNaming("a"))}}, partial.now);
  CHECK(complete.controller.Current()->revision == partial.controller.Current()->revision);
  CHECK(complete.controller.Current()->digest != partial.controller.Current()->digest);
  partial.controller.Offer(complete.controller.ValuesAfter(Revision()), partial.now);
  CHECK(complete.controller.Current()->digest == partial.controller.Current()->digest);
}

// Guards against a paused instance that takes a stale answer for fresh news.
TEST_CASE("only the present or a newer revision counts as heard", "[config-in-force]") {
  Fixture f;
  f.controller.Offer({{"text", Value(5, TextNaming("a"))}}, f.now);
  CHECK(f.controller.LastContact() == f.now);
  f.controller.RecordContact(Revision(4), f.now + seconds(1));
  f.controller.Offer({{"text", Value(4, TextNaming("b"))}}, f.now + seconds(1));
  CHECK(f.controller.LastContact() == f.now);
  f.controller.RecordContact(Revision(5), f.now + seconds(2));
  CHECK(f.controller.LastContact() == f.now + seconds(2));
  f.controller.RecordContact(Revision(6), f.now + seconds(1));
  CHECK(f.controller.LastContact() == f.now + seconds(2));
}

// Guards against a listener that publishes an older table after a newer one.
TEST_CASE("listeners see each change once and in order", "[config-in-force]") {
  Fixture f;
  std::vector<std::uint64_t> seen;
  f.controller.AddListener([&seen, &f](const auto& snapshot, Instant) {
    seen.push_back(snapshot->revision.value());
    // A listener may ask for the values, as the patches for peers do.
    if (f.controller.ValuesAfter(Revision()).empty()) std::abort();
  });
  std::vector<std::thread> threads;
  for (std::uint64_t t = 0; t < 4; ++t) {
    threads.emplace_back([&f, t] {
      for (std::uint64_t i = 1; i <= 50; ++i) {
        f.controller.Offer({{"text", Value(4 * i + t, TextNaming("s"))}}, f.now);
      }
    });
  }
  for (auto& thread : threads) thread.join();
  CHECK(std::is_sorted(seen.begin(), seen.end()));
  CHECK(std::adjacent_find(seen.begin(), seen.end()) == seen.end());
  CHECK(seen.back() == 203);
}

TEST_CASE("keys that the system does not use are ignored") {
  Fixture f;
  f.controller.Offer({{"other", Value(9, "{}")}, {"instances/Bad", Value(9, "{}")}}, f.now);
  CHECK(f.controller.Current()->revision == Revision());
  CHECK(f.events.EventsAfter(0).empty());
}

}  // namespace
}  // namespace primroseweir
