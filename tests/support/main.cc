#define CATCH_CONFIG_RUNNER
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdint>

#include "support/site.h"

namespace primroseweir::testing {
namespace {

std::atomic<std::uint64_t> failure_count{0};

// Counts failed checks, so that a site keeps the logs of a test that only a CHECK failed.
class FailureListener : public Catch::TestEventListenerBase {
 public:
  using TestEventListenerBase::TestEventListenerBase;

  bool assertionEnded(const Catch::AssertionStats& stats) override {
    if (!stats.assertionResult.isOk()) ++failure_count;
    return true;
  }
};

CATCH_REGISTER_LISTENER(FailureListener)

}  // namespace
}  // namespace primroseweir::testing

int main(int argc, char** argv) {
  // As in the programs, a write to a connection that the peer closed returns an error instead of
  // terminating the process by SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  using primroseweir::testing::failure_count;
  primroseweir::testing::Site::SetFailureCounter([] { return failure_count.load(); });
  return Catch::Session().run(argc, argv);
}
