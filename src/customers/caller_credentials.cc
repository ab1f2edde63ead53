#include "primroseweir/customers/caller_credentials.h"

#include <algorithm>

#include "primroseweir/http/header_fields.h"

namespace primroseweir {
namespace {

constexpr char kKeyField[] = "Authorization";

// Whether the names are equal but for case and underscores in place of dashes.
bool IsSpelledLike(std::string_view name, std::string_view other) {
  return name.size() == other.size() &&
         std::equal(name.begin(), name.end(), other.begin(), [](char a, char b) {
           const auto with_dash = [](char c) { return c == '_' ? '-' : c; };
           const char x = with_dash(a);
           const char y = with_dash(b);
           return EqualsIgnoreCase({&x, 1}, {&y, 1});
         });
}

}  // namespace

std::string_view CallerKeyOf(const HeaderFields& fields, std::string_view scheme) {
  const auto value = fields.Find(kKeyField);
  if (!value || fields.Count(kKeyField) != 1) {
    return {};
  }
  const auto text = *value;
  const auto space = text.find(' ');
  if (space == std::string_view::npos || !EqualsIgnoreCase(text.substr(0, space), scheme)) {
    return {};
  }
  const auto key = text.find_first_not_of(' ', space);
  return key == std::string_view::npos ? std::string_view() : text.substr(key);
}

void ReplaceCallerCredentials(HeaderFields* fields, std::string_view customer_field,
                              const CustomerName* customer) {
  fields->RemoveIf([customer_field](std::string_view name) {
    return IsSpelledLike(name, customer_field) || EqualsIgnoreCase(name, kKeyField);
  });
  if (customer != nullptr) {
    fields->Add(customer_field, customer->value());
  }
}

}  // namespace primroseweir
