#include "primroseweir/balance/upstream_pause.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace primroseweir {

std::optional<Duration> UpstreamPause::ParseDuration(const std::string& text) {
  constexpr char kNumberCharacters[] = "0123456789.";
  if (text.empty() || text.find_first_not_of(kNumberCharacters) != std::string::npos ||
      text.find_first_of("0123456789") == std::string::npos ||
      std::count(text.begin(), text.end(), '.') > 1) {
    return std::nullopt;
  }
  const double seconds = std::min(std::strtod(text.c_str(), nullptr),
                                  std::chrono::duration<double>(kMaxPause).count());
  if (seconds <= 0) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void UpstreamPause::Start(Duration duration, Instant now) {
  if (duration > Duration::zero()) {
    end_ = std::max(end_, now + std::min<Duration>(duration, kMaxPause));
  }
}

std::uint32_t UpstreamPause::MaxInFlight(std::uint32_t limit, Instant now) const {
  if (is_active(now)) {
    return 0;
  }
  const auto since_end = now - end_;
  if (end_ == Instant() || since_end >= kReturnTime) {
    return limit;
  }
  const double share = std::chrono::duration<double>(since_end) / kReturnTime;
  return std::min(limit, 1 + static_cast<std::uint32_t>(std::floor(share * limit)));
}

}  // namespace primroseweir
