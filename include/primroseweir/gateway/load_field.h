#ifndef PRIMROSEWEIR_GATEWAY_LOAD_FIELD_H_
#define PRIMROSEWEIR_GATEWAY_LOAD_FIELD_H_

#include <optional>
#include <string>

#include "primroseweir/balance/upstream_load_report.h"

namespace primroseweir {

// Reads the load that an upstream states: "running,waiting,slots" and optionally ",percent" for the
// slowdown. Nothing when the text is anything else.
std::optional<UpstreamLoadReport> ParseLoad(const std::string& text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_LOAD_FIELD_H_
