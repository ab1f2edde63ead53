#ifndef PRIMROSEWEIR_APPS_CTL_ADMIN_CLIENT_H_
#define PRIMROSEWEIR_APPS_CTL_ADMIN_CLIENT_H_

#include <string>

#include "primroseweir/admin/operator_report.h"

namespace primroseweir::ctl {

// Sends GET `path`?`query` to the admin port at `address` ("ip:port") with `token` as bearer token.
// The response has an error if the address is invalid, the instance does not respond within 2 s,
// the status is not 200, or the body is not JSON.
AdminResponse ReadAdminPort(const std::string& address, const std::string& path,
                            const std::string& query, const std::string& token);

}  // namespace primroseweir::ctl

#endif  // PRIMROSEWEIR_APPS_CTL_ADMIN_CLIENT_H_
