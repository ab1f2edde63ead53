#ifndef PRIMROSEWEIR_BASE_EVENT_H_
#define PRIMROSEWEIR_BASE_EVENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "primroseweir/base/hybrid_time.h"

namespace primroseweir {

// One occurrence worth a line in the log and a place on the time line.
struct Event {
  // Position in this process's event ring, from 1.
  std::uint64_t sequence = 0;
  HybridTime time;
  // Name in lower case with underscores, such as "call_finished".
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;
};

// Formats as one line: `time=... seq=... event=NAME key=value ...`. A value with spaces, quotes or
// an equals sign is quoted; line breaks are escaped, so that input can't forge a second line.
std::string FormatEvent(const Event& event);

// Appends ` key=value` with the same quoting. Linear in the value.
void AppendLogField(std::string_view key, std::string_view value, std::string* line);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_EVENT_H_
