#include "primroseweir/configuration/check_report.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "primroseweir/configuration/instances_parser.h"
#include "primroseweir/configuration/key_value_line.h"
#include "primroseweir/configuration/text_parser.h"

namespace primroseweir {
namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;
using Services = std::map<ServiceName, Service>;

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
  AddLine({{"change", change},
           {"service", service.name.value()},
           {"depends_on", DependenciesText(service)},
           {"calls", NameOf(service.call_kind)}},
          report);
}

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
    }
  }
}

}  // namespace

CheckReport CheckValues(const NamedText& text, const std::optional<NamedText>& instances) {
  CheckReport report;
  const auto services = ParseText(text.text);
  AddValidationErrors(text.file, services.errors, &report);
  if (instances.has_value()) {
    const auto list = ParseInstances(instances->text);
    AddValidationErrors(instances->file, list.errors, &report);
    if (report.accepted) AddWarnings(services.value, list.value, &report);
  }
  if (report.accepted) {
    AddLine({{"result", "accepted"},
             {"file", text.file},
             {"services", std::to_string(services.value.size())}},
            &report);
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
  AddChanges(ByName(std::move(before.value)), ByName(std::move(after.value)), &report);
  AddLine({{"result", "compared"}, {"changes", std::to_string(report.lines.size())}}, &report);
  return report;
}

}  // namespace primroseweir
