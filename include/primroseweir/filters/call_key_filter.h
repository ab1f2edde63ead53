#ifndef PRIMROSEWEIR_FILTERS_CALL_KEY_FILTER_H_
#define PRIMROSEWEIR_FILTERS_CALL_KEY_FILTER_H_

#include <string>

#include "primroseweir/filters/filter.h"
#include "primroseweir/keys/started_call_table.h"

namespace primroseweir {

class CallKeyIssuer;
class Fleet;
struct CallKey;

// Lets a call with a call key start at most once: here when this incarnation issued the key, else
// at the issuer.
class CallKeyFilter : public Filter {
 public:
  // All outlive the filter.
  CallKeyFilter(const Fleet* fleet, const CallKeyIssuer* issuer, StartedCallTable* table)
      : fleet_(fleet), issuer_(issuer), table_(table) {}

  CallOutcome Handle(Call* call, const Next& next) override;

 private:
  CallOutcome StartHere(Call* call, const std::string& text, const CallKey& key, const Next& next);
  CallOutcome Run(Call* call, const std::string& text, const Next& next);
  CallOutcome Repeat(Call* call, const StartedCallTable::Entry& entry) const;
  CallOutcome Forward(Call* call, const CallKey& key) const;

  const Fleet* const fleet_;
  const CallKeyIssuer* const issuer_;
  StartedCallTable* const table_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_CALL_KEY_FILTER_H_
