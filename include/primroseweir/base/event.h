#ifndef PRIMROSEWEIR_BASE_EVENT_H_
#define PRIMROSEWEIR_BASE_EVENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "primroseweir/base/hybrid_time.h"

namespace primroseweir {

// One entry of the event log. Its hybrid time places it on the timeline of all processes.
struct Event {
  // Number of the event within its process, from 1.
  std::uint64_t sequence = 0;
  HybridTime time;
  // Lower-case name with underscores, such as "call_finished".
  std::string name;
  // Key and value of each field, in the order of output.
  std::vector<std::pair<std::string, std::string>> fields;
};

// Formats `event` as one line: `time=... seq=... event=NAME key=value ...`. A value that is empty
// or contains spaces, quotes, backslashes, equals signs, control or non-ASCII characters is quoted.
// Quotes, backslashes, control and non-ASCII characters are escaped, so that input can't forge a
// second log line.
std::string FormatEvent(const Event& event);

// Appends ` key=value` to `line`, quoted as in FormatEvent. Linear in the length of the value.
void AppendLogField(std::string_view key, std::string_view value, std::string* line);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_EVENT_H_
