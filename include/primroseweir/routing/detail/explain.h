#ifndef PRIMROSEWEIR_ROUTING_DETAIL_EXPLAIN_H_
#define PRIMROSEWEIR_ROUTING_DETAIL_EXPLAIN_H_

#include <absl/status/statusor.h>

#include "primroseweir/base/time.h"
#include "primroseweir/routing/explanation.h"
#include "primroseweir/routing/routing_table.h"

namespace primroseweir {
namespace detail {

// Why each upstream of a service is or is not used by that table. Errors: NotFound.
absl::StatusOr<ServiceExplanation> Explain(const RoutingTable& table, const ServiceName& service,
                                           Instant now);

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_DETAIL_EXPLAIN_H_
