#ifndef PRIMROSEWEIR_HTTP_HEADER_FIELDS_H_
#define PRIMROSEWEIR_HTTP_HEADER_FIELDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace primroseweir {

// The header fields of a message in their original order. Names are compared case-insensitively.
// Look-ups are linear in the number of fields, which the parser limits.
class HeaderFields {
 public:
  using Field = std::pair<std::string, std::string>;

  // Appends a field. A name may occur several times.
  void Add(std::string_view name, std::string_view value);
  // Replaces all fields called `name` by one, which is appended.
  void Set(std::string_view name, std::string_view value);
  // Removes all fields called `name`.
  void Remove(std::string_view name);
  // Returns the value of the first field called `name`, or null if there is none. Valid until the
  // fields change.
  const std::string* Find(std::string_view name) const;
  // Returns the value of the first field called `name`, or "" if there is none.
  std::string Get(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  // Returns whether a field called `name` contains `token` in its comma-separated list. Compares
  // tokens case-insensitively.
  bool HasToken(std::string_view name, std::string_view token) const;

  const std::vector<Field>& all() const { return fields_; }
  std::vector<Field>* mutable_all() { return &fields_; }
  void Clear() { fields_.clear(); }

 private:
  std::vector<Field> fields_;
};

// Compares two strings, ignoring the case of ASCII letters.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_HEADER_FIELDS_H_
