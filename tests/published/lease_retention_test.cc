#include "primroseweir/published/lease_retention.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace primroseweir {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetention{2200};
const Instant kStart = Instant(std::chrono::hours(1));

// Guards against removals that are kept although the store never failed.
TEST_CASE("without an outage a missing item is not retained", "[published]") {
  LeaseRetention retention(kRetention);
  CHECK_FALSE(retention.RecordResponse(kStart));
  CHECK(retention.RetainUntil(kStart) == kStart);
}

// Guards against upstreams that are lost because their leases expired while the store was down.
TEST_CASE("an item that is missing when the store is back is retained", "[published]") {
  LeaseRetention retention(kRetention);
  retention.RecordResponse(kStart);
  CHECK(retention.RecordFailure());
  CHECK_FALSE(retention.RecordFailure());
  const auto back = kStart + milliseconds(8000);
  CHECK(retention.RecordResponse(back));
  CHECK(retention.RetainUntil(back) == back + kRetention);
}

// Guards against calls to an upstream that has left: the removal is as old as the response before
// the one that reports it (score of a grown deployment, DRAIN 10 ms after the bound).
TEST_CASE("a removal is retained from the earliest time at which it can have happened",
          "[published][upstream-leaving]") {
  LeaseRetention retention(kRetention);
  retention.RecordFailure();
  retention.RecordResponse(kStart);
  retention.RecordResponse(kStart + milliseconds(300));
  const auto reported = kStart + milliseconds(1300);
  retention.RecordResponse(reported);
  CHECK(retention.RetainUntil(reported) == kStart + milliseconds(300) + kRetention);
}

// Guards against the retention of removals long after an outage.
TEST_CASE("a removal after the renewal of leases takes effect at once", "[published]") {
  LeaseRetention retention(kRetention);
  retention.RecordFailure();
  retention.RecordResponse(kStart);
  const auto reported = kStart + LeaseRetention::kLeaseRenewalTime;
  retention.RecordResponse(reported);
  CHECK(retention.RetainUntil(reported) == reported);
}

}  // namespace
}  // namespace primroseweir
