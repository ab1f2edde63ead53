#ifndef PRIMROSEWEIR_CONFIGURATION_CHECKED_H_
#define PRIMROSEWEIR_CONFIGURATION_CHECKED_H_

#include <vector>

#include "primroseweir/configuration/verdict.h"

namespace primroseweir {

// Result of a check: the value when there are no verdicts, else the verdicts by position.
template <typename T>
struct Checked {
  T value;
  std::vector<Verdict> verdicts;

  bool ok() const { return verdicts.empty(); }
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_CHECKED_H_
