#ifndef PRIMROSEWEIR_GATEWAY_LOAD_FIELD_H_
#define PRIMROSEWEIR_GATEWAY_LOAD_FIELD_H_

#include <optional>
#include <string>

#include "primroseweir/balance/upstream_load_report.h"

namespace primroseweir {

// Parses a load report of the form "running,waiting,slots", optionally followed by ",percent" for
// the slowdown. Returns nothing if a value is missing, not a number, negative or above 1,000,000.
// Ignores further values.
std::optional<UpstreamLoadReport> ParseLoadField(const std::string& text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_LOAD_FIELD_H_
