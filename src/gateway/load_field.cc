#include "primroseweir/gateway/load_field.h"

#include <cstddef>
#include <cstdlib>
#include <vector>

namespace primroseweir {
namespace {

constexpr double kPercent = 100;
constexpr std::size_t kLeastFigures = 3;
constexpr std::size_t kMostFigures = 4;
// Figures above this are not believable.
constexpr double kLargestFigure = 1e6;

}  // namespace

std::optional<UpstreamLoadReport> ParseLoad(const std::string& text) {
  std::vector<double> figures;
  const char* position = text.c_str();
  while (*position != '\0' && figures.size() < kMostFigures) {
    char* end = nullptr;
    const double figure = std::strtod(position, &end);
    if (end == position || !(figure >= 0) || figure > kLargestFigure) {
      return std::nullopt;
    }
    figures.push_back(figure);
    position = *end == ',' ? end + 1 : end;
    if (*end != ',' && *end != '\0') {
      return std::nullopt;
    }
  }
  if (figures.size() < kLeastFigures) {
    return std::nullopt;
  }
  UpstreamLoadReport load;
  load.running = static_cast<std::uint32_t>(figures[0]);
  load.waiting = static_cast<std::uint32_t>(figures[1]);
  load.slots = static_cast<std::uint32_t>(figures[2]);
  if (figures.size() == kMostFigures && figures[3] > 0) {
    load.slowdown = figures[3] / kPercent;
  }
  return load;
}

}  // namespace primroseweir
