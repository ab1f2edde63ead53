#include "primroseweir/peer/observation_merge.h"

#include <algorithm>
#include <tuple>

namespace primroseweir {
namespace {

// Returns whether `a` is younger. For equal ages the greater in_flight decides, then the greater
// latency, so that the result of a merge does not depend on the order of its arguments.
bool IsYounger(const LoadReport& a, const LoadReport& b) {
  return std::tie(a.age, b.in_flight, b.latency) < std::tie(b.age, a.in_flight, a.latency);
}

}  // namespace

UpstreamObservation MergeObservations(const UpstreamObservation& a, const UpstreamObservation& b) {
  UpstreamObservation merged = a.epoch < b.epoch ? b : a;
  if (a.epoch == b.epoch) {
    merged.window = std::max(a.window, b.window);
    merged.leaving = a.leaving || b.leaving;
  }
  merged.report = a.report;
  if (b.report && (!a.report || IsYounger(*b.report, *a.report))) merged.report = b.report;
  return merged;
}

}  // namespace primroseweir
