#ifndef PRIMROSEWEIR_CONFIGURATION_CHECK_REPORT_H_
#define PRIMROSEWEIR_CONFIGURATION_CHECK_REPORT_H_

#include <optional>
#include <string>
#include <vector>

namespace primroseweir {

// A value and the name of the file that it was read from.
struct NamedText {
  std::string file;
  std::string text;
};

// What `primroseweir-ctl check` prints: one key=value line for each verdict and warning.
struct CheckReport {
  std::vector<std::string> lines;
  bool accepted = true;
};

// Checks an operators' text and, when given, the platform's list: services without a listed
// upstream and upstreams of unknown services are warnings. Linear in the sizes.
CheckReport CheckValues(const NamedText& text, const std::optional<NamedText>& instances);

// What would change, one line a service and one for each changed field, by name. A text that is
// not accepted gives its verdicts instead.
CheckReport DiffTexts(const NamedText& old_text, const NamedText& new_text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_CHECK_REPORT_H_
