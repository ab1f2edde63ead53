#include "primroseweir/gateway/load_field.h"

#include <cstddef>
#include <cstdlib>
#include <vector>

namespace primroseweir {
namespace {

constexpr double kPercent = 100;
constexpr std::size_t kMinValues = 3;
constexpr std::size_t kMaxValues = 4;
// Larger values are rejected as implausible.
constexpr double kMaxValue = 1e6;

}  // namespace

std::optional<UpstreamLoadReport> ParseLoadField(const std::string& text) {
  std::vector<double> values;
  const char* position = text.c_str();
  while (*position != '\0' && values.size() < kMaxValues) {
    char* end = nullptr;
    const double value = std::strtod(position, &end);
    if (end == position || !(value >= 0) || value > kMaxValue) {
      return std::nullopt;
    }
    values.push_back(value);
    position = *end == ',' ? end + 1 : end;
    if (*end != ',' && *end != '\0') {
      return std::nullopt;
    }
  }
  if (values.size() < kMinValues) {
    return std::nullopt;
  }
  UpstreamLoadReport load;
  load.running = static_cast<std::uint32_t>(values[0]);
  load.waiting = static_cast<std::uint32_t>(values[1]);
  load.slots = static_cast<std::uint32_t>(values[2]);
  if (values.size() == kMaxValues && values[3] > 0) {
    load.slowdown = values[3] / kPercent;
  }
  return load;
}

}  // namespace primroseweir
