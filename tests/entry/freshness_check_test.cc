#include "primroseweir/entry/freshness_check.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A configuration that is heard again when somebody answers.
class FakeSources {
 public:
  FreshnessCheck Check() {
    return FreshnessCheck([this] { return heard; },
                          [this](Duration) {
                            ++asked;
                            if (responses) heard = now;
                          });
  }

  Instant now{std::chrono::hours(1)};
  Instant heard = now;
  bool responses = true;
  int asked = 0;
};

// Guards against an instance that was paused and dispatches by an old configuration.
TEST_CASE("[data-centre-out] a call asks when nothing was heard for long", "[data-centre-out]") {
  FakeSources sources;
  FreshnessCheck check = sources.Check();
  CHECK(check.EnsureFresh(sources.now));
  CHECK(sources.asked == 0);
  sources.now += seconds(10);
  CHECK_FALSE(check.EnsureFresh(sources.now));
  CHECK(sources.asked == 1);
  CHECK(check.EnsureFresh(sources.now));
}

// Guards against calls that each wait 200 ms while neither a peer nor the platform answers.
TEST_CASE("an unanswered question is not repeated by calls until something is heard") {
  FakeSources sources;
  sources.responses = false;
  FreshnessCheck check = sources.Check();
  sources.now += seconds(10);
  CHECK_FALSE(check.EnsureFresh(sources.now));
  for (int i = 0; i < 10; ++i) {
    sources.now += seconds(1);
    CHECK(check.EnsureFresh(sources.now));
  }
  CHECK(sources.asked == 1);
  sources.heard = sources.now;
  sources.now += seconds(10);
  CHECK_FALSE(check.EnsureFresh(sources.now));
  CHECK(sources.asked == 2);
}

// Guards against calls that pay for the question although the process was never paused.
TEST_CASE("the background question keeps the configuration fresh for calls") {
  FakeSources sources;
  FreshnessCheck check = sources.Check();
  for (int i = 0; i < 600; ++i) {
    sources.now += milliseconds(100);
    check.KeepFresh(sources.now);
    CHECK(check.EnsureFresh(sources.now));
  }
  CHECK(sources.asked >= 60 / 3);
  CHECK(sources.asked <= 60 / 2 + 1);
}

}  // namespace
}  // namespace primroseweir
