#include "primroseweir/configuration/key_value_line.h"

#include "primroseweir/base/event.h"

namespace primroseweir {

std::string FormatKeyValueLine(const std::vector<std::pair<std::string, std::string>>& fields) {
  // Uses the quoting rules of events and leaves out the time, sequence and name at the start.
  Event event;
  const std::size_t head = FormatEvent(event).size();
  event.fields = fields;
  const std::string line = FormatEvent(event);
  return line.size() > head ? line.substr(head + 1) : "";
}

}  // namespace primroseweir
