#ifndef PRIMROSEWEIR_ROUTING_SERVICE_LIMITS_H_
#define PRIMROSEWEIR_ROUTING_SERVICE_LIMITS_H_

#include "primroseweir/limits/admission.h"
#include "primroseweir/limits/hedge_policy.h"
#include "primroseweir/limits/retry_budget.h"

namespace primroseweir {

// Limits of one service at this instance. They survive new configurations.
struct ServiceLimits {
  Admission admission;
  // The dispatching code notes first attempts and spends retries and hedges.
  RetryBudget retries;
  // The router records times to the head; the dispatching code asks for the delay.
  HedgePolicy hedges;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_SERVICE_LIMITS_H_
