#include "primroseweir/configuration/check_report.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "primroseweir/configuration/customer_priority.h"
#include "primroseweir/configuration/instances_parser.h"
#include "primroseweir/configuration/key_value_line.h"
#include "primroseweir/configuration/text_parser.h"

namespace primroseweir {
namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;
using Services = std::map<ServiceName, Service>;
using Customers = std::map<CustomerName, CustomerTable::Entry>;

void AddValidationErrors(const std::string& file, const std::vector<ValidationError>& errors,
                         CheckReport* report) {
  for (const ValidationError& validation_error : errors) {
    report->accepted = false;
    report->lines.push_back(FormatKeyValueLine({{"result", "rejected"}, {"file", file}}) + " " +
                            FormatValidationError(validation_error));
  }
}

void AddLine(const Fields& fields, CheckReport* report) {
  report->lines.push_back(FormatKeyValueLine(fields));
}

void AddWarnings(const std::vector<Service>& services, const InstanceList& list,
                 CheckReport* report) {
  // A divided list holds no upstreams itself; its parts are separate values.
  if (list.is_divided) return;
  std::set<ServiceName> known_services;
  std::map<ServiceName, std::size_t> upstream_counts;
  for (const Service& service : services) known_services.insert(service.name);
  for (const UpstreamRecord& upstream : list.upstreams) ++upstream_counts[upstream.service];
  for (const Service& service : services) {
    if (upstream_counts.count(service.name) > 0) continue;
    AddLine({{"result", "warning"},
             {"service", service.name.value()},
             {"problem", "no upstream is listed"},
             {"effect", "calls answer not-run"}},
            report);
  }
  for (const auto& [name, count] : upstream_counts) {
    if (known_services.count(name) > 0) continue;
    AddLine({{"result", "warning"},
             {"service", name.value()},
             {"problem", "upstreams of a service that the text does not name"},
             {"upstreams", std::to_string(count)}},
            report);
  }
}

std::string DependenciesText(const Service& service) {
  std::vector<ServiceName> sorted = service.depends_on;
  std::sort(sorted.begin(), sorted.end());
  std::string text;
  for (const ServiceName& name : sorted) text += (text.empty() ? "" : ",") + name.value();
  return text.empty() ? "none" : text;
}

Services ByName(std::vector<Service> services) {
  Services by_name;
  for (Service& service : services) by_name[service.name] = std::move(service);
  return by_name;
}

void AddFieldChange(const Service& service, const char* field, const std::string& before,
                    const std::string& after, CheckReport* report) {
  if (before == after) return;
  AddLine({{"change", "changed"},
           {"service", service.name.value()},
           {"field", field},
           {"old", before},
           {"new", after}},
          report);
}

void AddServiceChange(const char* change, const Service& service, CheckReport* report) {
  Fields fields = {{"change", change},
                   {"service", service.name.value()},
                   {"depends_on", DependenciesText(service)},
                   {"calls", NameOf(service.call_kind)}};
  if (service.is_public) fields.emplace_back("public", "true");
  AddLine(fields, report);
}

// ---- customers ----

std::string PriorityText(const Customer& customer) {
  return customer.priority ? NameOfCustomerPriority(*customer.priority) : "none";
}

std::string CallsText(double calls) { return std::to_string(static_cast<std::uint64_t>(calls)); }

std::string RateText(const Customer& customer) {
  return customer.has_quota() ? CallsText(customer.rate) : "none";
}

Customers ByName(const std::optional<std::vector<CustomerTable::Entry>>& entries) {
  Customers by_name;
  if (!entries) return by_name;
  for (const auto& entry : *entries) by_name[entry.customer.name] = entry;
  return by_name;
}

void AddCustomerChange(const char* change, const CustomerTable::Entry& entry, CheckReport* report) {
  AddLine({{"change", change},
           {"customer", entry.customer.name.value()},
           {"keys", std::to_string(entry.keys.size())},
           {"priority", PriorityText(entry.customer)},
           {"rate", RateText(entry.customer)},
           {"burst", CallsText(entry.customer.burst)}},
          report);
}

void AddCustomerFieldChange(const Customer& customer, const char* field, const std::string& before,
                            const std::string& after, CheckReport* report) {
  if (before == after) return;
  AddLine({{"change", "changed"},
           {"customer", customer.name.value()},
           {"field", field},
           {"old", before},
           {"new", after}},
          report);
}

// Reports how many keys were added and removed, since keys are never shown.
void AddKeyChange(const CustomerTable::Entry& before, const CustomerTable::Entry& after,
                  CheckReport* report) {
  const std::set<std::string> old_keys(before.keys.begin(), before.keys.end());
  const std::set<std::string> new_keys(after.keys.begin(), after.keys.end());
  std::size_t added = 0;
  for (const auto& key : new_keys) added += old_keys.count(key) == 0 ? 1 : 0;
  const std::size_t removed = old_keys.size() + added - new_keys.size();
  if (added == 0 && removed == 0) return;
  AddLine({{"change", "changed"},
           {"customer", after.customer.name.value()},
           {"field", "keys"},
           {"added", std::to_string(added)},
           {"removed", std::to_string(removed)}},
          report);
}

void AddCustomerChanges(const OperatorsText& old_text, const OperatorsText& new_text,
                        CheckReport* report) {
  if (old_text.customers.has_value() != new_text.customers.has_value()) {
    const bool is_added = new_text.customers.has_value();
    AddLine({{"change", is_added ? "added" : "removed"},
             {"field", "customers"},
             {"effect", is_added ? "calls need a key" : "calls need no key"}},
            report);
  }
  const Customers before = ByName(old_text.customers);
  const Customers after = ByName(new_text.customers);
  Customers all = before;
  all.insert(after.begin(), after.end());
  for (const auto& [name, entry] : all) {
    const auto old_entry = before.find(name);
    const auto new_entry = after.find(name);
    if (old_entry == before.end()) {
      AddCustomerChange("added", entry, report);
    } else if (new_entry == after.end()) {
      AddCustomerChange("removed", entry, report);
    } else {
      const Customer& old_customer = old_entry->second.customer;
      const Customer& customer = new_entry->second.customer;
      AddKeyChange(old_entry->second, new_entry->second, report);
      AddCustomerFieldChange(customer, "priority", PriorityText(old_customer),
                             PriorityText(customer), report);
      AddCustomerFieldChange(customer, "rate", RateText(old_customer), RateText(customer), report);
      AddCustomerFieldChange(customer, "burst", CallsText(old_customer.burst),
                             CallsText(customer.burst), report);
    }
  }
}

void AddCustomerWarnings(const OperatorsText& text, CheckReport* report) {
  for (const auto& [name, entry] : ByName(text.customers)) {
    if (!entry.keys.empty()) continue;
    AddLine({{"result", "warning"},
             {"customer", name.value()},
             {"problem", "no key"},
             {"effect", "the customer can make no calls"}},
            report);
  }
}

// ---- services ----

void AddChanges(const Services& before, const Services& after, CheckReport* report) {
  Services all = before;
  all.insert(after.begin(), after.end());
  for (const auto& [name, service] : all) {
    const auto old_service = before.find(name);
    const auto new_service = after.find(name);
    if (old_service == before.end()) {
      AddServiceChange("added", service, report);
    } else if (new_service == after.end()) {
      AddServiceChange("removed", service, report);
    } else {
      AddFieldChange(service, "depends_on", DependenciesText(old_service->second),
                     DependenciesText(new_service->second), report);
      AddFieldChange(service, "calls", NameOf(old_service->second.call_kind),
                     NameOf(new_service->second.call_kind), report);
      AddFieldChange(service, "public", old_service->second.is_public ? "true" : "false",
                     new_service->second.is_public ? "true" : "false", report);
    }
  }
}

}  // namespace

CheckReport CheckValues(const NamedText& text, const std::optional<NamedText>& instances) {
  CheckReport report;
  const auto parsed = ParseText(text.text);
  AddValidationErrors(text.file, parsed.errors, &report);
  if (instances.has_value()) {
    const auto list = ParseInstances(instances->text);
    AddValidationErrors(instances->file, list.errors, &report);
    if (report.accepted) AddWarnings(parsed.value.services, list.value, &report);
  }
  if (report.accepted) {
    AddCustomerWarnings(parsed.value, &report);
    Fields fields = {{"result", "accepted"},
                     {"file", text.file},
                     {"services", std::to_string(parsed.value.services.size())}};
    if (parsed.value.customers) {
      fields.emplace_back("customers", std::to_string(parsed.value.customers->size()));
    }
    AddLine(fields, &report);
  }
  return report;
}

CheckReport DiffTexts(const NamedText& old_text, const NamedText& new_text) {
  CheckReport report;
  auto before = ParseText(old_text.text);
  auto after = ParseText(new_text.text);
  AddValidationErrors(old_text.file, before.errors, &report);
  AddValidationErrors(new_text.file, after.errors, &report);
  if (!report.accepted) return report;
  AddChanges(ByName(std::move(before.value.services)), ByName(std::move(after.value.services)),
             &report);
  AddCustomerChanges(before.value, after.value, &report);
  AddLine({{"result", "compared"}, {"changes", std::to_string(report.lines.size())}}, &report);
  return report;
}

}  // namespace primroseweir
