#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_JSON_DOCUMENT_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_JSON_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace primroseweir::detail {

enum class JsonKind : std::uint8_t { kNull, kBoolean, kNumber, kString, kObject, kArray };

// One JSON value. Nodes are stored in document order; `end` is the index after the node's subtree.
struct JsonNode {
  JsonKind kind = JsonKind::kNull;
  // Whether the value is a number without sign, fraction or exponent that fits into 64 bits.
  bool is_integer = false;
  // Value of a kBoolean.
  bool is_true = false;
  // Byte offset of the value's end (of the start for objects and arrays), from which the line
  // number is found.
  std::uint32_t offset = 0;
  std::uint32_t end = 0;
  std::uint32_t text_start = 0;
  std::uint32_t text_size = 0;
  std::uint32_t key_start = 0;
  std::uint32_t key_size = 0;
  std::uint32_t key_offset = 0;
  std::uint64_t number = 0;
};

// Parsed JSON with the byte offset of each value, which nlohmann::json does not keep. Stores one
// array of nodes and one of characters, so that a value of 1 MB needs few allocations.
class JsonDocument {
 public:
  // Parses `text`. Returns false on a syntax error and sets error_offset(). Linear.
  bool Parse(const std::string& text);

  const JsonNode& node(std::size_t index) const { return nodes_[index]; }
  std::string_view text(const JsonNode& node) const {
    return std::string_view(characters_).substr(node.text_start, node.text_size);
  }
  std::string_view key(const JsonNode& node) const {
    return std::string_view(characters_).substr(node.key_start, node.key_size);
  }

  // Returns the offset of the first unexpected byte; the size of the text if it ends too early.
  std::size_t error_offset() const { return error_offset_; }

 private:
  class Builder;

  std::vector<JsonNode> nodes_;
  std::string characters_;
  std::size_t error_offset_ = 0;
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_JSON_DOCUMENT_H_
