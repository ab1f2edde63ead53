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

// Reads typed fields of a document and records a verdict for each that is wrong.
class ValueReader {
 public:
  explicit ValueReader(const std::string& text) : text_(text), errors_(text) {}

  // Checks size and syntax; false records the verdict.
  bool Parse();

  // False, with a verdict, when the value has another kind. `expected` names the kind and purpose.
  bool Expect(std::size_t index, JsonKind kind, const FieldPath& path, const char* expected);

  // A name of [a-z0-9-], 1 to 63 characters.
  bool ReadName(std::size_t index, const FieldPath& path, std::string* name);
  // A text of 1 to `longest` bytes.
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

// What to do with a member that has no rule.
enum class UnknownFields { kReject, kIgnore };

// How one member of an object is read into a Target.
template <typename Target>
struct FieldRule {
  std::string_view name;
  bool required;
  void (*read)(ValueReader* reader, std::size_t index, const FieldPath& path, Target* target);
};

// The names of the rules, for messages.
template <typename Target, std::size_t kCount>
std::string RuleNames(const FieldRule<Target> (&rules)[kCount]) {
  std::string names;
  for (std::size_t i = 0; i < kCount; ++i) {
    if (i > 0) names += i + 1 == kCount ? " or " : ", ";
    names += rules[i].name;
  }
  return names;
}

// Reads an object by rules. Records verdicts for unknown, repeated and missing fields.
template <typename Target, std::size_t kCount>
void ReadObject(ValueReader* reader, std::size_t index, const FieldPath& path,
                const FieldRule<Target> (&rules)[kCount], UnknownFields unknown, Target* target) {
  static_assert(kCount <= 32, "one bit a rule");
  if (!reader->Expect(index, JsonKind::kObject, path, "an object")) return;
  std::uint32_t seen = 0;
  const std::uint32_t end = reader->node(index).end;
  for (std::size_t child = index + 1; child < end; child = reader->node(child).end) {
    const std::string_view key = reader->document().key(reader->node(child));
    const FieldPath member = path.Member(key);
    std::size_t rule = 0;
    while (rule < kCount && rules[rule].name != key) ++rule;
    if (rule == kCount) {
      if (unknown == UnknownFields::kIgnore) continue;
      reader->errors().Add(reader->node(child).key_offset, member.ToString(), "unknown field",
                           RuleNames(rules));
    } else if ((seen & (1U << rule)) != 0) {
      reader->errors().Add(reader->node(child).key_offset, member.ToString(), "duplicate field",
                           "each field once");
    } else {
      seen |= 1U << rule;
      rules[rule].read(reader, child, member, target);
    }
  }
  for (std::size_t rule = 0; rule < kCount; ++rule) {
    if (!rules[rule].required || (seen & (1U << rule)) != 0) continue;
    reader->Reject(index, path, "field " + std::string(rules[rule].name) + " is missing",
                   "an object with this field");
  }
}

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_VALUE_READER_H_
