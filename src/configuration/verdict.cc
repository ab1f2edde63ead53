#include "primroseweir/configuration/verdict.h"

#include "primroseweir/configuration/key_value_line.h"

namespace primroseweir {

std::string FormatVerdict(const Verdict& verdict) {
  return FormatKeyValueLine({{"line", std::to_string(verdict.line)},
                             {"field", verdict.field},
                             {"problem", verdict.problem},
                             {"expected", verdict.expected}});
}

}  // namespace primroseweir
