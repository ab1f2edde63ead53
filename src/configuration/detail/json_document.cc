#include "primroseweir/configuration/detail/json_document.h"

#include <iterator>
#include <nlohmann/json.hpp>

namespace primroseweir::detail {
namespace {

// Input iterator that reports through a pointer how far the parser has read.
class TrackedIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  TrackedIterator(const char* position, const char** read_position)
      : position_(position), read_position_(read_position) {}

  reference operator*() const { return *position_; }
  TrackedIterator& operator++() {
    *read_position_ = ++position_;
    return *this;
  }
  TrackedIterator operator++(int) {
    TrackedIterator previous = *this;
    ++*this;
    return previous;
  }
  friend bool operator==(const TrackedIterator& a, const TrackedIterator& b) {
    return a.position_ == b.position_;
  }
  friend bool operator!=(const TrackedIterator& a, const TrackedIterator& b) { return !(a == b); }

 private:
  const char* position_;
  const char** read_position_;
};

}  // namespace

// SAX handler that appends a node for each event of the parser.
class JsonDocument::Builder : public nlohmann::json_sax<nlohmann::json> {
 public:
  Builder(JsonDocument* document, const std::string& text)
      : document_(document), start_(text.data()), read_position_(text.data()) {}

  const char** read_position() { return &read_position_; }

  bool null() override { return AddNode(JsonKind::kNull, Offset()); }
  bool boolean(bool value) override {
    AddNode(JsonKind::kBoolean, Offset());
    document_->nodes_.back().is_true = value;
    return true;
  }
  bool number_integer(number_integer_t) override {
    return AddNode(JsonKind::kNumber, NumberOffset());
  }
  bool number_float(number_float_t, const string_t&) override {
    return AddNode(JsonKind::kNumber, NumberOffset());
  }
  bool number_unsigned(number_unsigned_t value) override {
    AddNode(JsonKind::kNumber, NumberOffset());
    document_->nodes_.back().is_integer = true;
    document_->nodes_.back().number = value;
    return true;
  }
  bool string(string_t& value) override {
    AddNode(JsonKind::kString, Offset());
    JsonNode& node = document_->nodes_.back();
    node.text_start = AppendText(value);
    node.text_size = static_cast<std::uint32_t>(value.size());
    return true;
  }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return OpenContainer(JsonKind::kObject); }
  bool end_object() override { return CloseContainer(); }
  bool start_array(std::size_t) override { return OpenContainer(JsonKind::kArray); }
  bool end_array() override { return CloseContainer(); }
  bool key(string_t& value) override {
    key_start_ = AppendText(value);
    key_size_ = static_cast<std::uint32_t>(value.size());
    key_offset_ = Offset();
    return true;
  }
  bool parse_error(std::size_t position, const std::string&,
                   const nlohmann::detail::exception&) override {
    document_->error_offset_ = position == 0 ? 0 : position - 1;
    return false;
  }

 private:
  std::uint32_t Offset() const {
    return read_position_ == start_ ? 0 : static_cast<std::uint32_t>(read_position_ - start_ - 1);
  }
  // Returns the offset of a number's last character: the parser has read one more, which may be a
  // line break.
  std::uint32_t NumberOffset() const { return Offset() == 0 ? 0 : Offset() - 1; }

  std::uint32_t AppendText(const std::string& value) {
    const auto start = static_cast<std::uint32_t>(document_->characters_.size());
    document_->characters_.append(value);
    return start;
  }

  bool AddNode(JsonKind kind, std::uint32_t offset) {
    JsonNode node;
    node.kind = kind;
    node.offset = offset;
    node.end = static_cast<std::uint32_t>(document_->nodes_.size() + 1);
    node.key_start = key_start_;
    node.key_size = key_size_;
    node.key_offset = key_offset_;
    document_->nodes_.push_back(node);
    return true;
  }

  bool OpenContainer(JsonKind kind) {
    open_containers_.push_back(document_->nodes_.size());
    return AddNode(kind, Offset());
  }

  bool CloseContainer() {
    document_->nodes_[open_containers_.back()].end =
        static_cast<std::uint32_t>(document_->nodes_.size());
    open_containers_.pop_back();
    return true;
  }

  JsonDocument* document_;
  const char* start_;
  const char* read_position_;
  std::vector<std::size_t> open_containers_;
  std::uint32_t key_start_ = 0;
  std::uint32_t key_size_ = 0;
  std::uint32_t key_offset_ = 0;
};

bool JsonDocument::Parse(const std::string& text) {
  characters_.reserve(text.size());
  Builder builder(this, text);
  const char* begin = text.data();
  return nlohmann::json::sax_parse(TrackedIterator(begin, builder.read_position()),
                                   TrackedIterator(begin + text.size(), builder.read_position()),
                                   &builder);
}

}  // namespace primroseweir::detail
