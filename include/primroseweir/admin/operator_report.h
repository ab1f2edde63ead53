#ifndef PRIMROSEWEIR_ADMIN_OPERATOR_REPORT_H_
#define PRIMROSEWEIR_ADMIN_OPERATOR_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace primroseweir {

// An instance's answer on its admin port, or why there is none.
struct AdminResponse {
  std::string address;
  // Empty when the instance answered.
  std::string error;
  nlohmann::json body;
};

// One line for each instance: its fields, and `behind=1` where the configuration revision is below
// the highest one found. The answers are those of /status.
std::vector<std::string> StatusLines(const std::vector<AdminResponse>& responses);

// One line for each upstream of an answer of /explain.
std::vector<std::string> ExplainLines(const AdminResponse& response);

// The events of all answers of /events in causal order: by hybrid time, then process, then number.
std::vector<std::string> TimelineLines(const std::vector<AdminResponse>& responses);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ADMIN_OPERATOR_REPORT_H_
