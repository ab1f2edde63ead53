#ifndef PRIMROSEWEIR_HTTP_HEADER_FIELDS_H_
#define PRIMROSEWEIR_HTTP_HEADER_FIELDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace primroseweir {

// Header fields of a message in their order. Names compare without regard to case. Look-ups are
// linear in the number of fields, which the parser limits.
class HeaderFields {
 public:
  using Field = std::pair<std::string, std::string>;

  // Appends a field; the same name may occur several times.
  void Add(std::string_view name, std::string_view value);
  // Replaces all fields of that name by one.
  void Set(std::string_view name, std::string_view value);
  // Removes all fields of that name.
  void Remove(std::string_view name);
  // The first value of that name; null when there is none. Valid until the next change.
  const std::string* Find(std::string_view name) const;
  // The first value of that name or "".
  std::string Get(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  // Whether a comma-separated list field of that name contains `token`, without regard to case.
  bool HasToken(std::string_view name, std::string_view token) const;

  const std::vector<Field>& all() const { return fields_; }
  std::vector<Field>* mutable_all() { return &fields_; }
  void Clear() { fields_.clear(); }

 private:
  std::vector<Field> fields_;
};

// Compares without regard to the case of ASCII letters.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_HEADER_FIELDS_H_
