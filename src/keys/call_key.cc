#include "primroseweir/keys/call_key.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

#include "primroseweir/base/error.h"

namespace primroseweir {
namespace {

absl::Status MalformedKeyError() {
  return MakeError(absl::StatusCode::kInvalidArgument, {"call-key", ""}, "malformed call key");
}

bool IsNumber(const std::string& text) {
  return !text.empty() && text.size() <= 18 &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

bool IsVisibleAscii(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

// Returns the five parts before the first five dots and the rest of the text, or an empty vector
// when there are fewer dots.
std::vector<std::string> SplitKey(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (parts.size() < 5) {
    const auto dot = text.find('.', start);
    if (dot == std::string::npos) {
      return {};
    }
    parts.push_back(text.substr(start, dot - start));
    start = dot + 1;
  }
  parts.push_back(text.substr(start));
  return parts;
}

}  // namespace

absl::StatusOr<CallKey> ParseCallKey(const std::string& text) {
  const auto parts = SplitKey(text);
  if (parts.empty() || parts[0].empty() || !IsNumber(parts[1]) || !IsNumber(parts[3])) {
    return MalformedKeyError();
  }
  CallKey key;
  key.issuer = InstanceId(parts[0]);
  key.incarnation = Incarnation(std::stoull(parts[1]));
  key.expiry = Instant(std::chrono::milliseconds(std::stoll(parts[3])));
  key.signed_part = parts[0] + "." + parts[1] + "." + parts[2] + "." + parts[3];
  key.mac = parts[4];
  key.suffix = parts[5];
  if (key.suffix.empty() || key.suffix.size() > CallKey::kMaxSuffixBytes || !IsVisibleAscii(text)) {
    return MalformedKeyError();
  }
  return key;
}

}  // namespace primroseweir
