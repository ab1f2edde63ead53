#include "primroseweir/base/event.h"

#include <cstdio>

namespace primroseweir {
namespace {

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) return true;
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte <= ' ' || byte >= 0x7f || c == '"' || c == '=' || c == '\\') return true;
  }
  return false;
}

void AppendEscaped(char c, std::string* out) {
  const auto byte = static_cast<unsigned char>(c);
  if (c == '"' || c == '\\') {
    out->push_back('\\');
    out->push_back(c);
  } else if (byte < ' ' || byte >= 0x7f) {
    char buffer[8];
    std::snprintf(buffer, sizeof(buffer), "\\x%02x", byte);
    out->append(buffer);
  } else {
    out->push_back(c);
  }
}

void AppendValue(std::string_view value, std::string* out) {
  if (!NeedsQuotes(value)) {
    out->append(value);
    return;
  }
  out->push_back('"');
  for (const char c : value) AppendEscaped(c, out);
  out->push_back('"');
}

}  // namespace

std::string FormatEvent(const Event& event) {
  std::string line = "time=" + std::to_string(event.time.microseconds) + "." +
                     std::to_string(event.time.counter) + " seq=" + std::to_string(event.sequence) +
                     " event=" + event.name;
  for (const auto& [key, value] : event.fields) {
    AppendLogField(key, value, &line);
  }
  return line;
}

void AppendLogField(std::string_view key, std::string_view value, std::string* line) {
  line->append(" ").append(key).append("=");
  AppendValue(value, line);
}

}  // namespace primroseweir
