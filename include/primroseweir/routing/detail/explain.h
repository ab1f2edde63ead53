#ifndef PRIMROSEWEIR_ROUTING_DETAIL_EXPLAIN_H_
#define PRIMROSEWEIR_ROUTING_DETAIL_EXPLAIN_H_

#include <absl/status/statusor.h>

#include "primroseweir/base/time.h"
#include "primroseweir/routing/explanation.h"
#include "primroseweir/routing/routing_table.h"

namespace primroseweir {
namespace detail {

// Explains for each upstream of a service why `table` uses it or not. Errors: NotFound.
absl::StatusOr<ServiceExplanation> Explain(const RoutingTable& table, const ServiceName& service,
                                           Instant now);

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_DETAIL_EXPLAIN_H_
