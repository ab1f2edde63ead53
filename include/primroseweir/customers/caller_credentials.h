#ifndef PRIMROSEWEIR_CUSTOMERS_CALLER_CREDENTIALS_H_
#define PRIMROSEWEIR_CUSTOMERS_CALLER_CREDENTIALS_H_

#include <string_view>

#include "primroseweir/base/ids.h"

namespace primroseweir {

class HeaderFields;

// Returns the key in an Authorization field "SCHEME KEY"; empty if there is none, if the field has
// another scheme or form, or if it occurs several times. Valid until the fields change.
std::string_view CallerKeyOf(const HeaderFields& fields, std::string_view scheme);

// Removes the caller's key from the fields of a request to an upstream, and replaces the field
// `customer_field`, which the caller may have sent, by the name of the customer; null for an
// anonymous caller. Also removes names that differ from that field's only in case and underscores,
// since some upstreams read both as the same.
void ReplaceCallerCredentials(HeaderFields* fields, std::string_view customer_field,
                              const CustomerName* customer);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CUSTOMERS_CALLER_CREDENTIALS_H_
