#include "primroseweir/configuration/detail/json_document.h"

#include <iterator>
#include <nlohmann/json.hpp>

namespace primroseweir::detail {
namespace {

// Iterator that tells how far the parser has read.
class TrackedIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  TrackedIterator(const char* position, const char** reached)
      : position_(position), reached_(reached) {}

  reference operator*() const { return *position_; }
  TrackedIterator& operator++() {
    *reached_ = ++position_;
    return *this;
  }
  TrackedIterator operator++(int) {
    TrackedIterator old = *this;
    ++*this;
    return old;
  }
  friend bool operator==(const TrackedIterator& a, const TrackedIterator& b) {
    return a.position_ == b.position_;
  }
  friend bool operator!=(const TrackedIterator& a, const TrackedIterator& b) { return !(a == b); }

 private:
  const char* position_;
  const char** reached_;
};

}  // namespace

// Receives the parser's events.
class JsonDocument::Builder : public nlohmann::json_sax<nlohmann::json> {
 public:
  Builder(JsonDocument* document, const std::string& text)
      : document_(document), start_(text.data()), reached_(text.data()) {}

  const char** reached() { return &reached_; }

  bool null() override { return Scalar(JsonKind::kNull, Offset()); }
  bool boolean(bool) override { return Scalar(JsonKind::kBoolean, Offset()); }
  bool number_integer(number_integer_t) override { return Scalar(JsonKind::kNumber, Before()); }
  bool number_float(number_float_t, const string_t&) override {
    return Scalar(JsonKind::kNumber, Before());
  }
  bool number_unsigned(number_unsigned_t value) override {
    Scalar(JsonKind::kNumber, Before());
    document_->nodes_.back().is_integer = true;
    document_->nodes_.back().number = value;
    return true;
  }
  bool string(string_t& value) override {
    Scalar(JsonKind::kString, Offset());
    JsonNode& node = document_->nodes_.back();
    node.text_start = Append(value);
    node.text_size = static_cast<std::uint32_t>(value.size());
    return true;
  }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return Open(JsonKind::kObject); }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t) override { return Open(JsonKind::kArray); }
  bool end_array() override { return Close(); }
  bool key(string_t& value) override {
    key_start_ = Append(value);
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
    return reached_ == start_ ? 0 : static_cast<std::uint32_t>(reached_ - start_ - 1);
  }
  // The parser reads one character beyond a number, which may be a line break.
  std::uint32_t Before() const { return Offset() == 0 ? 0 : Offset() - 1; }

  std::uint32_t Append(const std::string& value) {
    const auto start = static_cast<std::uint32_t>(document_->characters_.size());
    document_->characters_.append(value);
    return start;
  }

  bool Scalar(JsonKind kind, std::uint32_t offset) {
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

  bool Open(JsonKind kind) {
    open_.push_back(document_->nodes_.size());
    return Scalar(kind, Offset());
  }

  bool Close() {
    document_->nodes_[open_.back()].end = static_cast<std::uint32_t>(document_->nodes_.size());
    open_.pop_back();
    return true;
  }

  JsonDocument* document_;
  const char* start_;
  const char* reached_;
  std::vector<std::size_t> open_;
  std::uint32_t key_start_ = 0;
  std::uint32_t key_size_ = 0;
  std::uint32_t key_offset_ = 0;
};

bool JsonDocument::Parse(const std::string& text) {
  characters_.reserve(text.size());
  Builder builder(this, text);
  const char* begin = text.data();
  return nlohmann::json::sax_parse(TrackedIterator(begin, builder.reached()),
                                   TrackedIterator(begin + text.size(), builder.reached()),
                                   &builder);
}

}  // namespace primroseweir::detail
