#include "primroseweir/peer/detail/field_reader.h"

#include <utility>

#include "primroseweir/peer/detail/wire_format.h"

namespace primroseweir {
namespace detail {
namespace {

bool IsId(const std::string& text) {
  if (text.empty() || text.size() > kMaximumIdBytes) return false;
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
  if (!array.is_array()) Fail("is not an array");
}

void FieldReader::ExpectSize(std::size_t count) {
  if (size_ == count) return;
  Fail("has " + std::to_string(size_) + " fields, expected " + std::to_string(count));
}

void FieldReader::Fail(const std::string& message) {
  if (error_->empty()) *error_ = name_ + " " + message;
}

const nlohmann::json* FieldReader::Next(const char* field) {
  if (!error_->empty()) return nullptr;
  if (next_ < size_) return &array_[next_++];
  Fail(std::string("has no field ") + field);
  return nullptr;
}

std::uint64_t FieldReader::Unsigned(const char* field, std::uint64_t minimum,
                                    std::uint64_t maximum) {
  const nlohmann::json* value = Next(field);
  if (value == nullptr) return 0;
  const std::uint64_t number = value->is_number_unsigned() ? value->get<std::uint64_t>() : 0;
  if (value->is_number_unsigned() && number >= minimum && number <= maximum) return number;
  Fail(std::string("field ") + field + " is not a number from " + std::to_string(minimum) + " to " +
       std::to_string(maximum));
  return 0;
}

bool FieldReader::Boolean(const char* field) {
  const nlohmann::json* value = Next(field);
  if (value == nullptr) return false;
  if (value->is_boolean()) return value->get<bool>();
  Fail(std::string("field ") + field + " is not true or false");
  return false;
}

std::string FieldReader::Id(const char* field) {
  const nlohmann::json* value = Next(field);
  if (value == nullptr) return "";
  if (value->is_string() && IsId(value->get_ref<const std::string&>())) {
    return value->get<std::string>();
  }
  Fail(std::string("field ") + field + " is not an identifier of 1 to " +
       std::to_string(kMaximumIdBytes) + " printable characters");
  return "";
}

const nlohmann::json& FieldReader::Array(const char* field) {
  const nlohmann::json* value = Next(field);
  if (value == nullptr) return EmptyArray();
  if (value->is_array()) return *value;
  Fail(std::string("field ") + field + " is not an array");
  return EmptyArray();
}

const nlohmann::json& FieldReader::Any(const char* field) {
  const nlohmann::json* value = Next(field);
  return value == nullptr ? EmptyArray() : *value;
}

}  // namespace detail
}  // namespace primroseweir
