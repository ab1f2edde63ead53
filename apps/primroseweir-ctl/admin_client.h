#ifndef PRIMROSEWEIR_APPS_CTL_ADMIN_CLIENT_H_
#define PRIMROSEWEIR_APPS_CTL_ADMIN_CLIENT_H_

#include <string>

#include "primroseweir/admin/operator_report.h"

namespace primroseweir::ctl {

// Reads a path of an instance's admin port. An instance that does not answer within 2 s, or answers
// with another status than 200, gives an error in the answer.
AdminResponse ReadAdminPort(const std::string& address, const std::string& path,
                            const std::string& query, const std::string& token);

}  // namespace primroseweir::ctl

#endif  // PRIMROSEWEIR_APPS_CTL_ADMIN_CLIENT_H_
