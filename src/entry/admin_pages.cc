#include "primroseweir/entry/admin_pages.h"

#include <string>
#include <utility>

#include "primroseweir/configuration/validation_error.h"
#include "primroseweir/customers/customer_table.h"

namespace primroseweir {
namespace {

using nlohmann::json;

json MembersJson(const MembershipView& view) {
  json members = json::array();
  for (const Member& member : view.members) {
    members.push_back({{"id", member.id.value()},
                       {"data_centre", member.data_centre.value()},
                       {"seat", member.seat.value()},
                       {"state", MemberStateName(member.state)},
                       {"caller_address", member.caller_address.ToString()},
                       {"configuration_revision", member.revision.value()}});
  }
  return members;
}

json RejectionsJson(const std::vector<ConfigurationRejection>& rejections) {
  json rejected = json::array();
  for (const ConfigurationRejection& entry : rejections) {
    json reasons = json::array();
    for (const ValidationError& item : entry.errors) reasons.push_back(FormatValidationError(item));
    rejected.push_back(
        {{"key", entry.key}, {"revision", entry.revision.value()}, {"reasons", reasons}});
  }
  return rejected;
}

// Returns the data centres that are out of service, separated by commas, or "none".
std::string DataCentresOutText(const ConfigurationSnapshot& snapshot) {
  std::string out;
  for (const DataCentre& data_centre : snapshot.data_centres_out) {
    out += (out.empty() ? "" : ",") + data_centre.value();
  }
  return out.empty() ? "none" : out;
}

std::size_t CountAlive(const MembershipView& view) {
  std::size_t alive = 0;
  for (const Member& member : view.members) {
    if (member.state == MemberState::kAlive) ++alive;
  }
  return alive;
}

json UpstreamJson(const UpstreamExplanation& upstream, const ConfigurationSnapshot& snapshot) {
  json page = {{"id", upstream.id.value()},
               {"data_centre", upstream.data_centre.value()},
               {"use", AvailabilityName(upstream.availability)},
               {"slots", upstream.slots},
               {"epoch", upstream.epoch.value()},
               {"window", upstream.window},
               {"limit", upstream.limit},
               {"in_flight", upstream.in_flight},
               {"latency_us", ToMicroseconds(upstream.latency)},
               {"baseline_us", ToMicroseconds(upstream.baseline)}};
  if (upstream.report.has_value()) {
    page["reported_in_flight"] = upstream.report->in_flight;
    page["report_age_ms"] = ToMilliseconds(upstream.report->age);
  }
  for (const UpstreamRecord& record : snapshot.upstreams) {
    if (record.id == upstream.id) page["address"] = record.address.ToString();
  }
  return page;
}

}  // namespace

json StatusPage(const InstanceStatus& status, const ConfigurationSnapshot& snapshot,
                const std::vector<ConfigurationRejection>& rejections, const MembershipView& view) {
  return {{"id", status.self.id.value()},
          {"data_centre", status.self.data_centre.value()},
          {"seat", status.self.seat.value()},
          {"incarnation", status.self.incarnation.value()},
          {"state", status.leaving ? "leaving" : "serving"},
          {"seat_taken", view.is_seat_taken},
          {"configuration_revision", snapshot.revision.value()},
          {"text_revision", snapshot.text_revision.value()},
          {"declarations_revision", snapshot.declarations_revision.value()},
          {"instances_revision", snapshot.instances_revision.value()},
          {"out", DataCentresOutText(snapshot)},
          {"services", snapshot.services.size()},
          {"upstreams", snapshot.upstreams.size()},
          {"unheard_ms", ToMilliseconds(status.since_contact)},
          {"connections", status.connections},
          {"alive", CountAlive(view)},
          {"rejected_count", rejections.size()},
          {"rejected", RejectionsJson(rejections)},
          {"members", MembersJson(view)}};
}

void AddCustomers(const ConfigurationSnapshot& snapshot,
                  const CustomerCalls::CountsByCustomer& calls, json* page) {
  if (snapshot.customers == nullptr) return;
  json customers = json::array();
  const auto add = [&](const std::string& name) {
    const auto found = calls.find(name);
    const CustomerCalls::Counts counts =
        found == calls.end() ? CustomerCalls::Counts() : found->second;
    customers.push_back({{"customer", name},
                         {"asked", counts.asked},
                         {"served", counts.served},
                         {"unknown", counts.unknown},
                         {"refused", counts.refused}});
  };
  for (const Customer& customer : snapshot.customers->customers()) add(customer.name.value());
  add(CustomerCalls::kAnonymous);
  (*page)["customers"] = std::move(customers);
}

json ExplainPage(const ServiceExplanation& explanation, const ConfigurationSnapshot& snapshot) {
  json upstreams = json::array();
  for (const UpstreamExplanation& upstream : explanation.upstreams) {
    upstreams.push_back(UpstreamJson(upstream, snapshot));
  }
  const std::string missing = explanation.missing_dependency.value();
  return {{"service", explanation.service.value()},
          {"missing_dependency", missing.empty() ? "none" : missing},
          {"limit", explanation.limit},
          {"in_flight", explanation.in_flight},
          {"waiting", explanation.waiting},
          {"upstreams", upstreams}};
}

}  // namespace primroseweir
