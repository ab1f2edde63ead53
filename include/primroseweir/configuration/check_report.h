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

// Output of `primroseweir-ctl check` and `diff`: one line of key=value pairs for each finding.
// `accepted` is false when at least one value failed validation.
struct CheckReport {
  std::vector<std::string> lines;
  bool accepted = true;
};

// Validates an operators' `text` value and, when given, an `instances` value. Services without a
// listed upstream and upstreams of unknown services give warnings. Linear in the sizes.
CheckReport CheckValues(const NamedText& text, const std::optional<NamedText>& instances);

// Compares two `text` values. Reports one line for each added or removed service and one for each
// changed field, in the order of the service names. When either text is invalid, reports the
// validation errors instead.
CheckReport DiffTexts(const NamedText& old_text, const NamedText& new_text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_CHECK_REPORT_H_
