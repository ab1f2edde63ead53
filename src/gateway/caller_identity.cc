#include "primroseweir/gateway/caller_identity.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "primroseweir/customers/customer_table.h"
#include "primroseweir/gateway/call_header_names.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/routes/route_table.h"

namespace primroseweir {
namespace {

constexpr char kKeyField[] = "Authorization";

// Returns the key in an Authorization field "SCHEME KEY"; empty if the field has another form.
std::string_view KeyOf(const HeaderFields& fields, std::string_view scheme) {
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

CallerIdentity CallerIdentity::Of(const RequestHead& head, const Route& route,
                                  const RouteTable& routes, const CallHeaderNames& names) {
  CallerIdentity identity;
  const auto* customers = routes.customers();
  if (customers == nullptr) {
    return identity;
  }
  identity.has_customers_ = true;
  const auto key = KeyOf(head.fields, names.key_scheme);
  if (const auto* customer = key.empty() ? nullptr : customers->FindByKey(key)) {
    identity.customer_ = *customer;
  }
  identity.is_allowed_ = identity.customer_.has_value() || routes.IsPublic(route, head.target);
  return identity;
}

std::uint32_t CallerIdentity::PriorityOr(std::uint32_t route_priority) const {
  return customer_ ? customer_->priority.value_or(route_priority) : route_priority;
}

void CallerIdentity::ReplaceCredentials(HeaderFields* fields, const CallHeaderNames& names) const {
  if (!has_customers_) {
    return;
  }
  std::vector<std::string> spellings;
  for (const auto& field : fields->all()) {
    const bool is_new = std::none_of(
        spellings.begin(), spellings.end(),
        [&field](const auto& spelling) { return EqualsIgnoreCase(spelling, field.first); });
    if (IsSpelledLike(field.first, names.customer) && is_new) {
      spellings.emplace_back(field.first);
    }
  }
  for (const auto& spelling : spellings) {
    fields->Remove(spelling);
  }
  fields->Remove(kKeyField);
  if (customer_) {
    fields->Add(names.customer, customer_->name.value());
  }
}

}  // namespace primroseweir
