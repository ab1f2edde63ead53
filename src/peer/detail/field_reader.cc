#include "primroseweir/peer/detail/field_reader.h"

#include <utility>

#include "primroseweir/peer/detail/wire_format.h"

namespace primroseweir {
namespace detail {
namespace {

bool IsValidId(const std::string& text) {
  if (text.empty() || text.size() > kMaxIdBytes) return false;
  for (const char c : text) {
    if (c <= ' ' || c > '~') return false;
  }
  return true;
}

const nlohmann::json& EmptyArray() {
  static const nlohmann::json kEmpty = nlohmann::json::array();
  return kEmpty;
}

}  // namespace

FieldReader::FieldReader(const nlohmann::json& array, std::string name, std::string* error)
    : array_(array),
      name_(std::move(name)),
      error_(error),
      size_(array.is_array() ? array.size() : 0) {
  if (!array.is_array()) RecordError("is not an array");
}

void FieldReader::ExpectSize(std::size_t count) {
  if (size_ == count) return;
  RecordError("has " + std::to_string(size_) + " fields, expected " + std::to_string(count));
}

void FieldReader::RecordError(const std::string& message) {
  if (error_->empty()) *error_ = name_ + " " + message;
}

const nlohmann::json* FieldReader::NextField(const char* field) {
  if (!error_->empty()) return nullptr;
  if (next_ < size_) return &array_[next_++];
  RecordError(std::string("has no field ") + field);
  return nullptr;
}

std::uint64_t FieldReader::ReadUnsigned(const char* field, std::uint64_t minimum,
                                        std::uint64_t maximum) {
  const nlohmann::json* value = NextField(field);
  if (value == nullptr) return 0;
  const std::uint64_t number = value->is_number_unsigned() ? value->get<std::uint64_t>() : 0;
  if (value->is_number_unsigned() && number >= minimum && number <= maximum) return number;
  RecordError(std::string("field ") + field + " is not an integer from " + std::to_string(minimum) +
              " to " + std::to_string(maximum));
  return 0;
}

bool FieldReader::ReadBoolean(const char* field) {
  const nlohmann::json* value = NextField(field);
  if (value == nullptr) return false;
  if (value->is_boolean()) return value->get<bool>();
  RecordError(std::string("field ") + field + " is not a boolean");
  return false;
}

std::string FieldReader::ReadId(const char* field) {
  const nlohmann::json* value = NextField(field);
  if (value == nullptr) return "";
  if (value->is_string() && IsValidId(value->get_ref<const std::string&>())) {
    return value->get<std::string>();
  }
  RecordError(std::string("field ") + field + " is not an identifier of 1 to " +
              std::to_string(kMaxIdBytes) + " printable ASCII characters without spaces");
  return "";
}

const nlohmann::json& FieldReader::ReadArray(const char* field) {
  const nlohmann::json* value = NextField(field);
  if (value == nullptr) return EmptyArray();
  if (value->is_array()) return *value;
  RecordError(std::string("field ") + field + " is not an array");
  return EmptyArray();
}

const nlohmann::json& FieldReader::ReadAny(const char* field) {
  const nlohmann::json* value = NextField(field);
  return value == nullptr ? EmptyArray() : *value;
}

}  // namespace detail
}  // namespace primroseweir
