#ifndef PRIMROSEWEIR_GATEWAY_LOAD_FIELD_H_
#define PRIMROSEWEIR_GATEWAY_LOAD_FIELD_H_

#include <optional>
#include <string>

#include "primroseweir/balance/upstream_load_report.h"

namespace primroseweir {

// Parses a load report of the form "running,waiting,slots", optionally followed by ",percent" for
// the slowdown. Returns nothing if the text has any other form.
std::optional<UpstreamLoadReport> ParseLoad(const std::string& text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_LOAD_FIELD_H_
