#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_JSON_DOCUMENT_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_JSON_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace primroseweir::detail {

enum class JsonKind : std::uint8_t { kNull, kBoolean, kNumber, kString, kObject, kArray };

// One value of a document. Values stand in document order; a subtree ends before `end`.
struct JsonNode {
  JsonKind kind = JsonKind::kNull;
  // A number without sign, fraction and exponent that fits 64 bits.
  bool is_integer = false;
  // Byte offset of the value's end (objects and arrays: of their start), for the line.
  std::uint32_t offset = 0;
  std::uint32_t end = 0;
  std::uint32_t text_start = 0;
  std::uint32_t text_size = 0;
  std::uint32_t key_start = 0;
  std::uint32_t key_size = 0;
  std::uint32_t key_offset = 0;
  std::uint64_t number = 0;
};

// Parsed JSON that knows where each value stands, which nlohmann::json does not keep. One array of
// nodes and one of characters, so that a value of 1 MB takes few allocations.
class JsonDocument {
 public:
  // False when `text` is not JSON; error_offset then says where. Linear.
  bool Parse(const std::string& text);

  const JsonNode& node(std::size_t index) const { return nodes_[index]; }
  std::string_view text(const JsonNode& node) const {
    return std::string_view(characters_).substr(node.text_start, node.text_size);
  }
  std::string_view key(const JsonNode& node) const {
    return std::string_view(characters_).substr(node.key_start, node.key_size);
  }

  // The first byte that does not fit; the size of the text when it ends too early.
  std::size_t error_offset() const { return error_offset_; }

 private:
  class Builder;

  std::vector<JsonNode> nodes_;
  std::string characters_;
  std::size_t error_offset_ = 0;
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_JSON_DOCUMENT_H_
