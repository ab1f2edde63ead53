#ifndef PRIMROSEWEIR_PEER_DETAIL_FIELD_READER_H_
#define PRIMROSEWEIR_PEER_DETAIL_FIELD_READER_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace primroseweir {
namespace detail {

// Reads the fields of a JSON array one after another and checks type and range of each. After the
// first fault every read answers an empty value, so that a caller checks `error` once at the end.
class FieldReader {
 public:
  // `name` says what the array is. `error` receives the first fault and must outlive the reader.
  FieldReader(const nlohmann::json& array, std::string name, std::string* error);

  std::size_t size() const { return size_; }

  // Notes a fault unless the array has exactly `count` fields.
  void ExpectSize(std::size_t count);

  std::uint64_t Unsigned(const char* field, std::uint64_t minimum, std::uint64_t maximum);
  bool Boolean(const char* field);
  // An identifier: 1 to kMaximumIdBytes printable ASCII characters without a space.
  std::string Id(const char* field);
  const nlohmann::json& Array(const char* field);
  // The field as it is; the caller checks it.
  const nlohmann::json& Any(const char* field);

  void Fail(const std::string& message);

 private:
  const nlohmann::json* Next(const char* field);

  const nlohmann::json& array_;
  const std::string name_;
  std::string* const error_;
  const std::size_t size_;
  std::size_t next_ = 0;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_FIELD_READER_H_
