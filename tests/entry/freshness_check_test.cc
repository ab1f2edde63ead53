#include "primroseweir/entry/freshness_check.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Contacts and refreshes of a FreshnessCheck; a refresh brings a contact while `is_reachable`.
class FakeSources {
 public:
  FreshnessCheck MakeCheck() {
    return FreshnessCheck([this] { return last_contact; },
                          [this](Duration) {
                            ++refreshes;
                            if (is_reachable) last_contact = now;
                          });
  }

  Instant now{std::chrono::hours(1)};
  Instant last_contact = now;
  bool is_reachable = true;
  int refreshes = 0;
};

// Guards against an instance that dispatches calls with an old configuration after a pause.
TEST_CASE("[data-centre-out] a call refreshes the configuration after 10 s without contact",
          "[data-centre-out]") {
  FakeSources sources;
  FreshnessCheck check = sources.MakeCheck();
  CHECK(check.EnsureFresh(sources.now));
  CHECK(sources.refreshes == 0);
  sources.now += seconds(10);
  CHECK_FALSE(check.EnsureFresh(sources.now));
  CHECK(sources.refreshes == 1);
  CHECK(check.EnsureFresh(sources.now));
}

// Guards against calls that each block for 200 ms while neither a peer nor the platform responds.
TEST_CASE("after a failed refresh, calls do not refresh again until the next contact") {
  FakeSources sources;
  sources.is_reachable = false;
  FreshnessCheck check = sources.MakeCheck();
  sources.now += seconds(10);
  CHECK_FALSE(check.EnsureFresh(sources.now));
  for (int i = 0; i < 10; ++i) {
    sources.now += seconds(1);
    CHECK(check.EnsureFresh(sources.now));
  }
  CHECK(sources.refreshes == 1);
  sources.last_contact = sources.now;
  sources.now += seconds(10);
  CHECK_FALSE(check.EnsureFresh(sources.now));
  CHECK(sources.refreshes == 2);
}

// Guards against calls that are delayed by a refresh although the process was never paused.
TEST_CASE("the background refresh keeps the configuration fresh for calls") {
  FakeSources sources;
  FreshnessCheck check = sources.MakeCheck();
  for (int i = 0; i < 600; ++i) {
    sources.now += milliseconds(100);
    check.KeepFresh(sources.now);
    CHECK(check.EnsureFresh(sources.now));
  }
  CHECK(sources.refreshes >= 60 / 3);
  CHECK(sources.refreshes <= 60 / 2 + 1);
}

}  // namespace
}  // namespace primroseweir
