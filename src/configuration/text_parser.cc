#include "primroseweir/configuration/text_parser.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "primroseweir/configuration/detail/customers_reader.h"
#include "primroseweir/configuration/detail/dependency_graph.h"
#include "primroseweir/configuration/detail/value_reader.h"
#include "primroseweir/configuration/value_limits.h"

namespace primroseweir {
namespace {

using detail::DependencyGraph;
using detail::FieldPath;
using detail::FieldRule;
using detail::JsonKind;
using detail::Quote;
using detail::UnknownFields;
using detail::ValueReader;

// A parsed service with the node indexes of its names, which give the lines for later errors.
struct ParsedService {
  std::string name;
  std::size_t name_index = 0;
  std::vector<std::string> depends_on;
  std::vector<std::size_t> dependency_indexes;
  ServiceCallKind call_kind = ServiceCallKind::kIdempotent;
  bool is_public = false;
};

using ParsedServices = std::vector<ParsedService>;

struct ParsedText {
  ParsedServices services;
  std::optional<std::vector<CustomerTable::Entry>> customers;
};

constexpr std::size_t kMaxPathServicesInMessage = 10;
constexpr ServiceCallKind kServiceCallKinds[] = {
    ServiceCallKind::kIdempotent, ServiceCallKind::kNonIdempotent, ServiceCallKind::kUploads};

void ReadServiceName(ValueReader* reader, std::size_t index, const FieldPath& path,
                     ParsedService* parsed_service) {
  if (reader->ReadName(index, path, &parsed_service->name)) parsed_service->name_index = index;
}

void ReadDependencies(ValueReader* reader, std::size_t index, const FieldPath& path,
                      ParsedService* parsed_service) {
  if (!reader->Expect(index, JsonKind::kArray, path, "an array of names of services")) return;
  const std::uint32_t end = reader->node(index).end;
  std::size_t position = 0;
  for (std::size_t child = index + 1; child < end; child = reader->node(child).end) {
    std::string name;
    reader->ReadName(child, path.Element(position++), &name);
    parsed_service->depends_on.push_back(std::move(name));
    parsed_service->dependency_indexes.push_back(child);
  }
}

void ReadCalls(ValueReader* reader, std::size_t index, const FieldPath& path,
               ParsedService* parsed_service) {
  constexpr char kExpected[] = "repeatable, not-repeatable or uploads";
  if (!reader->Expect(index, JsonKind::kString, path, kExpected)) return;
  const std::string_view value = reader->text(index);
  for (const ServiceCallKind call_kind : kServiceCallKinds) {
    if (value == NameOf(call_kind)) {
      parsed_service->call_kind = call_kind;
      return;
    }
  }
  reader->Reject(index, path, "unknown value " + Quote(value), kExpected);
}

void ReadPublic(ValueReader* reader, std::size_t index, const FieldPath& path,
                ParsedService* parsed_service) {
  if (reader->Expect(index, JsonKind::kBoolean, path, "true or false")) {
    parsed_service->is_public = reader->node(index).is_true;
  }
}

constexpr FieldRule<ParsedService> kServiceRules[] = {
    {"name", true, ReadServiceName},
    {"depends_on", false, ReadDependencies},
    {"calls", false, ReadCalls},
    {"public", false, ReadPublic},
};

void ReadServices(ValueReader* reader, std::size_t index, const FieldPath& path,
                  ParsedText* parsed_text) {
  ParsedServices* const parsed_services = &parsed_text->services;
  if (!reader->Expect(index, JsonKind::kArray, path, "an array of services")) return;
  const std::uint32_t end = reader->node(index).end;
  std::size_t position = 0;
  for (std::size_t child = index + 1; child < end; child = reader->node(child).end) {
    ParsedService parsed_service;
    ReadObject(reader, child, path.Element(position++), kServiceRules, UnknownFields::kReject,
               &parsed_service);
    parsed_services->push_back(std::move(parsed_service));
  }
  if (parsed_services->empty()) reader->Reject(index, path, "no service", "at least one service");
}

void ReadCustomers(ValueReader* reader, std::size_t index, const FieldPath& path,
                   ParsedText* parsed_text) {
  parsed_text->customers = detail::CustomersReader(reader).Read(index, path);
}

constexpr FieldRule<ParsedText> kTextRules[] = {
    {"services", true, ReadServices},
    {"customers", false, ReadCustomers},
};

// Validates names and dependencies across services.
class ServiceValidator {
 public:
  ServiceValidator(ValueReader* reader, const ParsedServices& parsed_services)
      : reader_(*reader), parsed_services_(parsed_services) {}

  void Validate() {
    for (std::size_t i = 0; i < parsed_services_.size(); ++i) CheckName(i);
    std::vector<std::vector<std::uint32_t>> graph(parsed_services_.size());
    for (std::size_t i = 0; i < parsed_services_.size(); ++i) graph[i] = ResolveDependencies(i);
    CheckGraph(std::move(graph));
  }

 private:
  void CheckName(std::size_t position) {
    const ParsedService& parsed_service = parsed_services_[position];
    if (parsed_service.name.empty()) return;
    const auto [first, inserted] =
        by_name_.emplace(parsed_service.name, static_cast<std::uint32_t>(position));
    if (inserted) return;
    const auto& first_name = reader_.node(parsed_services_[first->second].name_index);
    const std::size_t line = reader_.errors().LineOf(first_name.offset);
    Reject(
        position, "name", parsed_service.name_index,
        "duplicate name " + Quote(parsed_service.name) + ", first on line " + std::to_string(line),
        "each name once");
  }

  std::vector<std::uint32_t> ResolveDependencies(std::size_t position) {
    const ParsedService& parsed_service = parsed_services_[position];
    std::vector<std::uint32_t> resolved;
    for (std::size_t i = 0; i < parsed_service.depends_on.size(); ++i) {
      resolved.push_back(ResolveDependency(position, i));
      if (resolved.back() == DependencyGraph::kUnknown) continue;
      if (!named_dependencies_.emplace(resolved.back(), position).second) {
        RejectDependency(position, i, "duplicate name " + Quote(parsed_service.depends_on[i]),
                         "each dependency once");
      }
    }
    named_dependencies_.clear();
    return resolved;
  }

  std::uint32_t ResolveDependency(std::size_t position, std::size_t dependency) {
    const std::string& name = parsed_services_[position].depends_on[dependency];
    if (name.empty()) return DependencyGraph::kUnknown;
    const auto found = by_name_.find(name);
    if (found != by_name_.end()) return found->second;
    RejectDependency(position, dependency, "unknown dependency " + Quote(name),
                     "the name of a service in this text");
    return DependencyGraph::kUnknown;
  }

  void CheckGraph(std::vector<std::vector<std::uint32_t>> dependencies) {
    DependencyGraph graph(std::move(dependencies));
    graph.Search(kMaxValidationErrors);
    for (const auto& cycle : graph.cycles()) {
      RejectDependency(
          cycle.service, cycle.dependency,
          "cycle " + PathText(cycle.path) + " > " + parsed_services_[cycle.path[0]].name,
          "dependencies without a cycle");
    }
    if (!graph.cycles().empty()) return;
    for (std::uint32_t i = 0; i < parsed_services_.size(); ++i) {
      // Reports only chains one above the limit, since every longer chain contains one of those.
      if (graph.ChainLength(i) != kMaxChainLength + 1) continue;
      Reject(i, "depends_on", parsed_services_[i].name_index,
             "chain of " + std::to_string(kMaxChainLength + 1) + " services " +
                 PathText(graph.Chain(i)),
             "at most " + std::to_string(kMaxChainLength) + " services on a chain");
    }
  }

  std::string PathText(const std::vector<std::uint32_t>& path) const {
    std::string text;
    for (std::size_t i = 0; i < path.size(); ++i) {
      if (i == kMaxPathServicesInMessage) return text + " > ...";
      text += (i == 0 ? "" : " > ") + parsed_services_[path[i]].name;
    }
    return text;
  }

  void Reject(std::size_t position, const char* field, std::size_t index, std::string problem,
              std::string expected) {
    reader_.errors().Add(reader_.node(index).offset,
                         "services[" + std::to_string(position) + "]." + field, std::move(problem),
                         std::move(expected));
  }

  void RejectDependency(std::size_t position, std::size_t dependency, std::string problem,
                        std::string expected) {
    const std::string field = "depends_on[" + std::to_string(dependency) + "]";
    Reject(position, field.c_str(), parsed_services_[position].dependency_indexes[dependency],
           std::move(problem), std::move(expected));
  }

  ValueReader& reader_;
  const ParsedServices& parsed_services_;
  std::unordered_map<std::string_view, std::uint32_t> by_name_;
  std::unordered_map<std::uint32_t, std::size_t> named_dependencies_;
};

std::vector<Service> ToServices(ParsedServices parsed_services) {
  std::vector<Service> services;
  services.reserve(parsed_services.size());
  for (ParsedService& parsed : parsed_services) {
    Service service;
    service.name = ServiceName(std::move(parsed.name));
    service.call_kind = parsed.call_kind;
    service.is_public = parsed.is_public;
    for (std::string& name : parsed.depends_on) service.depends_on.emplace_back(std::move(name));
    services.push_back(std::move(service));
  }
  return services;
}

}  // namespace

Validated<OperatorsText> ParseText(const std::string& text) {
  Validated<OperatorsText> result;
  ValueReader reader(text);
  ParsedText parsed_text;
  if (reader.Parse()) {
    ReadObject(&reader, 0, FieldPath(), kTextRules, UnknownFields::kReject, &parsed_text);
    ServiceValidator(&reader, parsed_text.services).Validate();
  }
  result.errors = reader.errors().Finish();
  if (result.ok()) {
    result.value.services = ToServices(std::move(parsed_text.services));
    result.value.customers = std::move(parsed_text.customers);
  }
  return result;
}

}  // namespace primroseweir
