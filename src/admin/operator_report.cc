#include "primroseweir/admin/operator_report.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

#include "primroseweir/base/event.h"
#include "primroseweir/base/json_error.h"

namespace primroseweir {
namespace {

using nlohmann::json;
using Fields = std::vector<std::pair<std::string, std::string>>;

// Formats key=value pairs, quoted like the fields of events.
std::string FormatFields(Fields fields) {
  Event event;
  const std::size_t head = FormatEvent(event).size();
  event.fields = std::move(fields);
  return FormatEvent(event).substr(std::min(head + 1, FormatEvent(event).size()));
}

std::string FormatValue(const json& value) {
  return value.is_string() ? value.get<std::string>()
                           : value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Appends the members of `object` that are neither objects nor arrays.
void AppendScalarMembers(const json& object, Fields* fields) {
  if (!object.is_object()) return;
  for (const auto& [key, value] : object.items()) {
    if (!value.is_structured()) fields->emplace_back(key, FormatValue(value));
  }
}

std::string FormatErrorLine(const AdminResponse& response) {
  return FormatFields(
      {{"admin", response.address}, {"result", "no-answer"}, {"error", response.error}});
}

// Returns the configuration revision of a response of /status, 0 if it has none.
std::uint64_t RevisionOf(const AdminResponse& response) {
  if (!response.body.is_object()) return 0;
  const auto found = response.body.find("configuration_revision");
  return found != response.body.end() && found->is_number_integer() ? found->get<std::uint64_t>()
                                                                    : 0;
}

// A formatted event with its sort key.
struct TimelineEvent {
  std::int64_t microseconds = 0;
  std::uint32_t counter = 0;
  std::string process;
  std::uint64_t sequence = 0;
  std::string line;

  auto SortKey() const { return std::tie(microseconds, counter, process, sequence); }
};

// Parses an event of /events. Throws json::exception on a missing field or a wrong type.
TimelineEvent ToEvent(const std::string& process, const json& source) {
  Event event;
  event.time.microseconds = source.at("us").get<std::int64_t>();
  event.time.counter = source.at("counter").get<std::uint32_t>();
  event.sequence = source.at("seq").get<std::uint64_t>();
  event.name = source.at("event").get<std::string>();
  for (const json& field : source.at("fields")) {
    event.fields.emplace_back(field.at(0).get<std::string>(), field.at(1).get<std::string>());
  }
  return {event.time.microseconds, event.time.counter, process, event.sequence, FormatEvent(event)};
}

// Appends a line for each customer with the sums of its calls over the instances.
void AppendCustomerLines(const std::vector<AdminResponse>& responses,
                         std::vector<std::string>* lines) {
  std::map<std::string, std::map<std::string, std::uint64_t>> sums;
  for (const AdminResponse& response : responses) {
    if (!response.body.is_object() || !response.body.contains("customers")) continue;
    for (const json& customer : response.body.at("customers")) {
      auto& sum = sums[customer.at("customer").get<std::string>()];
      for (const char* field : {"asked", "served", "unknown"}) {
        sum[field] += customer.at(field).get<std::uint64_t>();
      }
      for (const auto& [reason, calls] : customer.at("refused").items()) {
        sum["refused"] += calls.get<std::uint64_t>();
        sum["refused_" + reason] += calls.get<std::uint64_t>();
      }
    }
  }
  for (const auto& [customer, sum] : sums) {
    Fields fields = {{"customer", customer}};
    for (const auto& [name, calls] : sum) fields.emplace_back(name, std::to_string(calls));
    lines->push_back(FormatFields(std::move(fields)));
  }
}

}  // namespace

std::vector<std::string> StatusLines(const std::vector<AdminResponse>& responses) {
  std::uint64_t highest = 0;
  for (const AdminResponse& response : responses) highest = std::max(highest, RevisionOf(response));
  std::vector<std::string> lines;
  for (const AdminResponse& response : responses) {
    if (!response.error.empty()) {
      lines.push_back(FormatErrorLine(response));
      continue;
    }
    Fields fields = {{"admin", response.address}};
    AppendScalarMembers(response.body, &fields);
    fields.emplace_back("behind", RevisionOf(response) < highest ? "1" : "0");
    lines.push_back(FormatFields(std::move(fields)));
  }
  try {
    AppendCustomerLines(responses, &lines);
  } catch (const json::exception& error) {
    lines.push_back(FormatErrorLine({"customers", JsonErrorReason(error), {}}));
  }
  return lines;
}

std::vector<std::string> ExplainLines(const AdminResponse& response) {
  if (!response.error.empty()) return {FormatErrorLine(response)};
  std::vector<std::string> lines;
  Fields head = {{"admin", response.address}};
  AppendScalarMembers(response.body, &head);
  lines.push_back(FormatFields(head));
  if (!response.body.is_object() || !response.body.contains("upstreams")) return lines;
  for (const json& upstream : response.body.at("upstreams")) {
    Fields fields = {{"admin", response.address}};
    AppendScalarMembers(upstream, &fields);
    lines.push_back(FormatFields(std::move(fields)));
  }
  return lines;
}

std::vector<std::string> TimelineLines(const std::vector<AdminResponse>& responses) {
  std::vector<std::string> lines;
  std::vector<TimelineEvent> events;
  for (const AdminResponse& response : responses) {
    if (!response.error.empty()) {
      lines.push_back(FormatErrorLine(response));
      continue;
    }
    try {
      const std::string process = response.body.at("process").get<std::string>();
      for (const json& item : response.body.at("events")) events.push_back(ToEvent(process, item));
    } catch (const json::exception& error) {
      lines.push_back(FormatErrorLine({response.address, JsonErrorReason(error), {}}));
    }
  }
  std::sort(events.begin(), events.end(), [](const TimelineEvent& a, const TimelineEvent& b) {
    return a.SortKey() < b.SortKey();
  });
  for (TimelineEvent& event : events) lines.push_back(std::move(event.line));
  return lines;
}

}  // namespace primroseweir
