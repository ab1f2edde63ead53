#include "primroseweir/configuration/detail/value_reader.h"

#include "primroseweir/configuration/value_limits.h"

namespace primroseweir::detail {
namespace {

const char* KindName(JsonKind kind) {
  static constexpr const char* kNames[] = {"null",     "true or false", "a number",
                                           "a string", "an object",     "an array"};
  return kNames[static_cast<std::size_t>(kind)];
}

}  // namespace

bool IsValidName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  for (const char c : text) {
    const bool allowed = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    if (!allowed) return false;
  }
  return true;
}

bool ValueReader::Parse() {
  if (text_.size() > kMaxValueBytes) {
    errors_.Add(0, "", "the value has " + std::to_string(text_.size()) + " bytes",
                "at most " + std::to_string(kMaxValueBytes) + " bytes");
    return false;
  }
  if (document_.Parse(text_)) return true;
  const std::size_t offset = document_.error_offset();
  errors_.Add(offset, "",
              offset >= text_.size()
                  ? "bad JSON: unexpected end"
                  : "bad JSON: unexpected character " + Quote(text_.substr(offset, 1)),
              "a JSON value");
  return false;
}

bool ValueReader::Expect(std::size_t index, JsonKind kind, const FieldPath& path,
                         const char* expected) {
  if (node(index).kind == kind) return true;
  Reject(index, path, std::string("the value is ") + KindName(node(index).kind), expected);
  return false;
}

bool ValueReader::ReadName(std::size_t index, const FieldPath& path, std::string* name) {
  constexpr char kExpected[] = "1 to 63 characters of a-z, 0-9 and -";
  if (!Expect(index, JsonKind::kString, path, kExpected)) return false;
  if (!IsValidName(text(index))) {
    Reject(index, path, "bad name " + Quote(text(index)), kExpected);
    return false;
  }
  *name = text(index);
  return true;
}

bool ValueReader::ReadText(std::size_t index, const FieldPath& path, std::size_t max_bytes,
                           std::string* text_out) {
  const std::string expected = "a text of 1 to " + std::to_string(max_bytes) + " bytes";
  if (!Expect(index, JsonKind::kString, path, expected.c_str())) return false;
  const std::string_view found = text(index);
  if (found.empty() || found.size() > max_bytes) {
    Reject(index, path, "the text has " + std::to_string(found.size()) + " bytes", expected);
    return false;
  }
  *text_out = found;
  return true;
}

bool ValueReader::ReadNumber(std::size_t index, const FieldPath& path, std::uint64_t minimum,
                             std::uint64_t maximum, std::uint64_t* number) {
  const JsonNode& value = node(index);
  if (value.is_integer && value.number >= minimum && value.number <= maximum) {
    *number = value.number;
    return true;
  }
  const std::string problem =
      value.is_integer ? "the number is " + std::to_string(value.number)
                       : std::string("the value is ") + KindName(value.kind) +
                             (value.kind == JsonKind::kNumber ? " with a sign or a fraction" : "");
  Reject(index, path, problem,
         "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
  return false;
}

void ValueReader::Reject(std::size_t index, const FieldPath& path, std::string problem,
                         std::string expected) {
  errors_.Add(node(index).offset, path.ToString(), std::move(problem), std::move(expected));
}

}  // namespace primroseweir::detail
