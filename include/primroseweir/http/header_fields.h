#ifndef PRIMROSEWEIR_HTTP_HEADER_FIELDS_H_
#define PRIMROSEWEIR_HTTP_HEADER_FIELDS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace primroseweir {

// The header fields of a message in their original order. Names are compared case-insensitively.
// Look-ups are linear in the number of fields, which the parser limits.
//
// All names and values share one buffer, so that a field costs 12 bytes beside its text: as
// separate strings, the 4,000 fields that fit into a head of 16 KB took more than 256 KB.
class HeaderFields {
 private:
  // Position of a field in the buffer; the value follows the name.
  struct Entry {
    std::uint32_t begin;
    std::uint32_t name_bytes;
    std::uint32_t value_bytes;
  };

 public:
  // Name and value. Valid until the fields change.
  using Field = std::pair<std::string_view, std::string_view>;
  // Copies of names and values that are stored outside of a message.
  using FieldCopies = std::vector<std::pair<std::string, std::string>>;

  class Iterator {
   public:
    Iterator(const HeaderFields* fields, std::size_t index) : fields_(fields), index_(index) {}
    Field operator*() const { return fields_->At(fields_->entries_[index_]); }
    Iterator& operator++() {
      ++index_;
      return *this;
    }
    bool operator!=(const Iterator& other) const { return index_ != other.index_; }

   private:
    const HeaderFields* fields_;
    std::size_t index_;
  };

  // All fields, for iteration.
  class View {
   public:
    explicit View(const HeaderFields* fields) : fields_(fields) {}
    Iterator begin() const { return {fields_, 0}; }
    Iterator end() const { return {fields_, size()}; }
    std::size_t size() const { return fields_->entries_.size(); }
    bool empty() const { return size() == 0; }

   private:
    const HeaderFields* fields_;
  };

  // Appends a field. A name may occur several times. `name` and `value` must not be views of these
  // fields; the same holds for Set.
  void Add(std::string_view name, std::string_view value);
  // Replaces all fields called `name` by one, which is appended.
  void Set(std::string_view name, std::string_view value);
  // Removes all fields called `name`.
  void Remove(std::string_view name);
  // Removes all fields whose name satisfies `predicate`, in one pass.
  template <typename Predicate>
  void RemoveIf(Predicate predicate);
  // Returns the value of the first field called `name`, if there is one. Valid until the fields
  // change.
  std::optional<std::string_view> Find(std::string_view name) const;
  // Returns the value of the first field called `name`, or "" if there is none.
  std::string Get(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  // Returns whether a field called `name` contains `token` in its comma-separated list. Compares
  // tokens case-insensitively.
  bool HasToken(std::string_view name, std::string_view token) const;

  View all() const { return View(this); }
  FieldCopies Copies() const;
  // Replaces all fields.
  void Assign(const FieldCopies& copies);
  void Clear();
  // Returns memory that was allocated in advance, if it is more than a few kilobytes.
  void ReleaseSpareMemory();
  // Bytes allocated for the fields.
  std::size_t allocated_bytes() const {
    return text_.capacity() + entries_.capacity() * sizeof(Entry);
  }

 private:
  Field At(const Entry& entry) const {
    const std::string_view text(text_);
    return {text.substr(entry.begin, entry.name_bytes),
            text.substr(entry.begin + entry.name_bytes, entry.value_bytes)};
  }

  // Text of all fields, including removed ones.
  std::string text_;
  std::vector<Entry> entries_;
};

template <typename Predicate>
void HeaderFields::RemoveIf(Predicate predicate) {
  entries_.erase(std::remove_if(entries_.begin(), entries_.end(),
                                [&](const Entry& entry) { return predicate(At(entry).first); }),
                 entries_.end());
}

// Compares two strings, ignoring the case of ASCII letters.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_HEADER_FIELDS_H_
