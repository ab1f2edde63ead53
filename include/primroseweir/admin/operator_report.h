#ifndef PRIMROSEWEIR_ADMIN_OPERATOR_REPORT_H_
#define PRIMROSEWEIR_ADMIN_OPERATOR_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace primroseweir {

// Response of the admin port of an instance, or the error that prevented one.
struct AdminResponse {
  std::string address;
  // Empty on success.
  std::string error;
  nlohmann::json body;
};

// Returns one line for each response of /status: its scalar fields, and `behind=1` if the
// configuration revision is below the highest one of all responses, else `behind=0`. A response
// with an error gives a line with the error.
std::vector<std::string> StatusLines(const std::vector<AdminResponse>& responses);

// Returns a line with the scalar fields of a response of /explain, then one line for each upstream.
// A response with an error gives one line with the error.
std::vector<std::string> ExplainLines(const AdminResponse& response);

// Returns one line for each failed or malformed response of /events, then the events of all
// responses in causal order: by hybrid time, then process, then event number.
std::vector<std::string> TimelineLines(const std::vector<AdminResponse>& responses);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ADMIN_OPERATOR_REPORT_H_
