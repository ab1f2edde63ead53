#include "primroseweir/gateway/caller_identity.h"

#include <string>
#include <string_view>

#include "primroseweir/customers/customer_table.h"
#include "primroseweir/gateway/call_header_names.h"
#include "primroseweir/http/header_fields.h"
#include "primroseweir/routes/route.h"

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

}  // namespace

CallerIdentity CallerIdentity::Of(const HeaderFields& fields, const Route& route,
                                  const CustomerTable* customers, const CallHeaderNames& names) {
  CallerIdentity identity;
  if (customers == nullptr) {
    return identity;
  }
  const auto key = KeyOf(fields, names.key_scheme);
  if (!key.empty()) {
    identity.key_digest_ = KeyDigest::Of(key);
    if (const auto* customer = customers->Find(identity.key_digest_)) {
      identity.customer_ = *customer;
    }
  }
  identity.is_allowed_ = route.is_public || identity.customer_.has_value();
  return identity;
}

bool CallerIdentity::IsValidIn(const CustomerTable* customers) const {
  if (!customer_ || customers == nullptr) {
    return true;
  }
  const auto* customer = customers->Find(key_digest_);
  return customer != nullptr && customer->name == customer_->name;
}

std::uint32_t CallerIdentity::PriorityOr(std::uint32_t route_priority) const {
  return customer_ ? customer_->priority.value_or(route_priority) : route_priority;
}

void CallerIdentity::ReplaceCredentials(HeaderFields* fields, const CallHeaderNames& names) const {
  fields->Remove(kKeyField);
  fields->Remove(names.customer);
  if (customer_) {
    fields->Add(names.customer, customer_->name.value());
  }
}

}  // namespace primroseweir
