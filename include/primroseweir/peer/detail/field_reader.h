#ifndef PRIMROSEWEIR_PEER_DETAIL_FIELD_READER_H_
#define PRIMROSEWEIR_PEER_DETAIL_FIELD_READER_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace primroseweir {
namespace detail {

// Reads the fields of a JSON array in order and checks the type and range of each. After the first
// error every read returns an empty value, so that callers check `error` once at the end.
class FieldReader {
 public:
  // `name` describes the array in error messages. `error` receives the first error and must outlive
  // the reader, as must `array`.
  FieldReader(const nlohmann::json& array, std::string name, std::string* error);

  std::size_t size() const { return size_; }

  // Records an error unless the array has exactly `count` fields.
  void ExpectSize(std::size_t count);

  std::uint64_t ReadUnsigned(const char* field, std::uint64_t minimum, std::uint64_t maximum);
  bool ReadBoolean(const char* field);
  // Reads an identifier: 1 to kMaxIdBytes printable ASCII characters without spaces.
  std::string ReadId(const char* field);
  const nlohmann::json& ReadArray(const char* field);
  // Returns the field without any check.
  const nlohmann::json& ReadAny(const char* field);

  // Records an error unless there already is one.
  void RecordError(const std::string& message);

 private:
  const nlohmann::json* NextField(const char* field);

  const nlohmann::json& array_;
  const std::string name_;
  std::string* const error_;
  const std::size_t size_;
  std::size_t next_ = 0;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_FIELD_READER_H_
