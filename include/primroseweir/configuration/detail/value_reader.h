#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_VALUE_READER_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_VALUE_READER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "primroseweir/configuration/detail/field_path.h"
#include "primroseweir/configuration/detail/json_document.h"
#include "primroseweir/configuration/detail/validation_error_collector.h"

namespace primroseweir::detail {

// Reads typed fields of a JSON document and records an error for each invalid one. Keeps a
// reference to the text, which must outlive it.
class ValueReader {
 public:
  explicit ValueReader(const std::string& text) : text_(text), errors_(text) {}

  // Parses the text. Returns false and records an error if it is too large or not JSON.
  bool Parse();

  // Returns false and records an error if the value is not of `kind`. `expected` describes the
  // valid values for the message.
  bool Expect(std::size_t index, JsonKind kind, const FieldPath& path, const char* expected);

  // Reads a name of 1 to 63 characters from [a-z0-9-].
  bool ReadName(std::size_t index, const FieldPath& path, std::string* name);
  // Reads a string of 1 to `max_bytes` bytes.
  bool ReadText(std::size_t index, const FieldPath& path, std::size_t max_bytes, std::string* text);
  bool ReadNumber(std::size_t index, const FieldPath& path, std::uint64_t minimum,
                  std::uint64_t maximum, std::uint64_t* number);

  void Reject(std::size_t index, const FieldPath& path, std::string problem, std::string expected);

  const JsonDocument& document() const { return document_; }
  const JsonNode& node(std::size_t index) const { return document_.node(index); }
  std::string_view text(std::size_t index) const { return document_.text(document_.node(index)); }
  ValidationErrorCollector& errors() { return errors_; }

 private:
  const std::string& text_;
  JsonDocument document_;
  ValidationErrorCollector errors_;
};

// Whether the text is a valid name of 1 to 63 characters from [a-z0-9-].
bool IsValidName(std::string_view text);

// How to treat members of an object for which there is no rule. The errors of kRejectWithoutName
// don't contain the name of the member, which may be a key in a wrong place.
enum class UnknownFields { kReject, kRejectWithoutName, kIgnore };

// Rule for reading one member of an object into a Target.
template <typename Target>
struct FieldRule {
  std::string_view name;
  bool required;
  void (*read)(ValueReader* reader, std::size_t index, const FieldPath& path, Target* target);
};

// Returns the names of the rules as a list for messages, such as "a, b or c".
template <typename Target, std::size_t kCount>
std::string RuleNames(const FieldRule<Target> (&rules)[kCount]) {
  std::string names;
  for (std::size_t i = 0; i < kCount; ++i) {
    if (i > 0) names += i + 1 == kCount ? " or " : ", ";
    names += rules[i].name;
  }
  return names;
}

// Reads an object by rules. Records errors for duplicate and missing required fields and, unless
// they are ignored, for unknown ones.
template <typename Target, std::size_t kCount>
void ReadObject(ValueReader* reader, std::size_t index, const FieldPath& path,
                const FieldRule<Target> (&rules)[kCount], UnknownFields unknown_fields,
                Target* target) {
  static_assert(kCount <= 32, "one bit a rule");
  if (!reader->Expect(index, JsonKind::kObject, path, "an object")) return;
  std::uint32_t found_rules = 0;
  const std::uint32_t end = reader->node(index).end;
  for (std::size_t child = index + 1; child < end; child = reader->node(child).end) {
    const std::string_view key = reader->document().key(reader->node(child));
    const FieldPath member = path.Member(key);
    std::size_t rule = 0;
    while (rule < kCount && rules[rule].name != key) ++rule;
    if (rule == kCount) {
      if (unknown_fields == UnknownFields::kIgnore) continue;
      const auto& shown = unknown_fields == UnknownFields::kRejectWithoutName ? path : member;
      reader->errors().Add(reader->node(child).key_offset, shown.ToString(), "unknown field",
                           RuleNames(rules));
    } else if ((found_rules & (1U << rule)) != 0) {
      reader->errors().Add(reader->node(child).key_offset, member.ToString(), "duplicate field",
                           "each field once");
    } else {
      found_rules |= 1U << rule;
      rules[rule].read(reader, child, member, target);
    }
  }
  for (std::size_t rule = 0; rule < kCount; ++rule) {
    if (!rules[rule].required || (found_rules & (1U << rule)) != 0) continue;
    reader->Reject(index, path, "field " + std::string(rules[rule].name) + " is missing",
                   "an object with this field");
  }
}

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_VALUE_READER_H_
