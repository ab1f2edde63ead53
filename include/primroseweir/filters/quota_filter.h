#ifndef PRIMROSEWEIR_FILTERS_QUOTA_FILTER_H_
#define PRIMROSEWEIR_FILTERS_QUOTA_FILTER_H_

#include "primroseweir/filters/filter.h"

namespace primroseweir {

class CustomerQuotas;

// Refuses calls of customers above their quota. Placed behind CallKeyFilter, so that only the
// instance that dispatches a call charges it, and a replayed response is not charged.
class QuotaFilter : public Filter {
 public:
  // `quotas` must outlive the filter.
  explicit QuotaFilter(CustomerQuotas* quotas) : quotas_(quotas) {}

  CallOutcome Handle(Call* call, const Next& next) override;

 private:
  CustomerQuotas* const quotas_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_QUOTA_FILTER_H_
