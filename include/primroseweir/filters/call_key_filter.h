#ifndef PRIMROSEWEIR_FILTERS_CALL_KEY_FILTER_H_
#define PRIMROSEWEIR_FILTERS_CALL_KEY_FILTER_H_

#include <string>

#include "primroseweir/filters/filter.h"
#include "primroseweir/keys/started_call_table.h"

namespace primroseweir {

class CallKeyIssuer;
class Fleet;
struct CallKey;

// Ensures that a call with a call key is started at most once. Starts it on this instance when this
// incarnation issued the key, and otherwise forwards it to the issuer.
class CallKeyFilter : public Filter {
 public:
  // `fleet`, `issuer` and `table` must outlive the filter.
  CallKeyFilter(const Fleet* fleet, const CallKeyIssuer* issuer, StartedCallTable* table)
      : fleet_(fleet), issuer_(issuer), table_(table) {}

  CallOutcome Handle(Call* call, const Next& next) override;

 private:
  CallOutcome HandleAtIssuer(Call* call, const std::string& key_text, const CallKey& key,
                             const Next& next);
  CallOutcome ExecuteAndRecord(Call* call, const std::string& key_text, const Next& next);
  CallOutcome ReplayOutcome(Call* call, const StartedCallTable::Entry& entry) const;
  CallOutcome ForwardToIssuer(Call* call, const CallKey& key) const;

  const Fleet* const fleet_;
  const CallKeyIssuer* const issuer_;
  StartedCallTable* const table_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_CALL_KEY_FILTER_H_
