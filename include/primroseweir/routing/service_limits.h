#ifndef PRIMROSEWEIR_ROUTING_SERVICE_LIMITS_H_
#define PRIMROSEWEIR_ROUTING_SERVICE_LIMITS_H_

#include "primroseweir/limits/admission_controller.h"
#include "primroseweir/limits/hedge_policy.h"
#include "primroseweir/limits/retry_budget.h"

namespace primroseweir {

// Limits of one service at this instance. They are kept when a new configuration is applied.
struct ServiceLimits {
  AdmissionController admission;
  // The dispatching code records first attempts and spends the budget on retries and hedges.
  RetryBudget retry_budget;
  // The router records the times to the response head; the dispatching code reads the hedge delay.
  HedgePolicy hedge_policy;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_SERVICE_LIMITS_H_
