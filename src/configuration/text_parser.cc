#include "primroseweir/configuration/text_parser.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <utility>

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

// A service while it is read, with the places of its parts for the checks that follow.
struct ServiceSource {
  std::string name;
  std::size_t name_index = 0;
  std::vector<std::string> depends_on;
  std::vector<std::size_t> dependency_indexes;
  ServiceCalls calls = ServiceCalls::kIdempotent;
};

using Sources = std::vector<ServiceSource>;

constexpr std::size_t kLongestPathInMessage = 10;
constexpr ServiceCalls kServiceCalls[] = {ServiceCalls::kIdempotent, ServiceCalls::kNonIdempotent,
                                          ServiceCalls::kUploads};

void ReadServiceName(ValueReader* reader, std::size_t index, const FieldPath& path,
                     ServiceSource* source) {
  if (reader->ReadName(index, path, &source->name)) source->name_index = index;
}

void ReadDependencies(ValueReader* reader, std::size_t index, const FieldPath& path,
                      ServiceSource* source) {
  if (!reader->Expect(index, JsonKind::kArray, path, "an array of names of services")) return;
  const std::uint32_t end = reader->node(index).end;
  std::size_t position = 0;
  for (std::size_t child = index + 1; child < end; child = reader->node(child).end) {
    std::string name;
    reader->ReadName(child, path.Element(position++), &name);
    source->depends_on.push_back(std::move(name));
    source->dependency_indexes.push_back(child);
  }
}

void ReadCalls(ValueReader* reader, std::size_t index, const FieldPath& path,
               ServiceSource* source) {
  constexpr char kExpected[] = "repeatable, not-repeatable or uploads";
  if (!reader->Expect(index, JsonKind::kString, path, kExpected)) return;
  const std::string_view value = reader->text(index);
  for (const ServiceCalls calls : kServiceCalls) {
    if (value == NameOf(calls)) {
      source->calls = calls;
      return;
    }
  }
  reader->Reject(index, path, "unknown value " + Quote(value), kExpected);
}

constexpr FieldRule<ServiceSource> kServiceRules[] = {
    {"name", true, ReadServiceName},
    {"depends_on", false, ReadDependencies},
    {"calls", false, ReadCalls},
};

void ReadServices(ValueReader* reader, std::size_t index, const FieldPath& path, Sources* sources) {
  if (!reader->Expect(index, JsonKind::kArray, path, "an array of services")) return;
  const std::uint32_t end = reader->node(index).end;
  std::size_t position = 0;
  for (std::size_t child = index + 1; child < end; child = reader->node(child).end) {
    ServiceSource source;
    ReadObject(reader, child, path.Element(position++), kServiceRules, UnknownFields::kReject,
               &source);
    sources->push_back(std::move(source));
  }
  if (sources->empty()) reader->Reject(index, path, "no service", "at least one service");
}

constexpr FieldRule<Sources> kTextRules[] = {{"services", true, ReadServices}};

// Checks what concerns several services at once.
class ServiceChecks {
 public:
  ServiceChecks(ValueReader* reader, const Sources& sources)
      : reader_(*reader), sources_(sources) {}

  void Run() {
    for (std::size_t i = 0; i < sources_.size(); ++i) CheckName(i);
    std::vector<std::vector<std::uint32_t>> graph(sources_.size());
    for (std::size_t i = 0; i < sources_.size(); ++i) graph[i] = Resolve(i);
    CheckGraph(std::move(graph));
  }

 private:
  void CheckName(std::size_t position) {
    const ServiceSource& source = sources_[position];
    if (source.name.empty()) return;
    const auto [first, added] = by_name_.emplace(source.name, static_cast<std::uint32_t>(position));
    if (added) return;
    const auto& other = reader_.node(sources_[first->second].name_index);
    const std::size_t line = reader_.errors().LineOf(other.offset);
    Reject(position, "name", source.name_index,
           "duplicate name " + Quote(source.name) + ", first on line " + std::to_string(line),
           "each name once");
  }

  std::vector<std::uint32_t> Resolve(std::size_t position) {
    const ServiceSource& source = sources_[position];
    std::vector<std::uint32_t> resolved;
    for (std::size_t i = 0; i < source.depends_on.size(); ++i) {
      resolved.push_back(ResolveOne(position, i));
      if (resolved.back() == DependencyGraph::kUnknown) continue;
      if (!seen_.emplace(resolved.back(), position).second) {
        RejectDependency(position, i, "duplicate name " + Quote(source.depends_on[i]),
                         "each dependency once");
      }
    }
    seen_.clear();
    return resolved;
  }

  std::uint32_t ResolveOne(std::size_t position, std::size_t dependency) {
    const std::string& name = sources_[position].depends_on[dependency];
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
      RejectDependency(cycle.service, cycle.dependency,
                       "cycle " + PathText(cycle.path) + " > " + sources_[cycle.path[0]].name,
                       "dependencies without a cycle");
    }
    if (!graph.cycles().empty()) return;
    for (std::uint32_t i = 0; i < sources_.size(); ++i) {
      // Every longer chain holds one of this length.
      if (graph.ChainLength(i) != kMaxChainLength + 1) continue;
      Reject(i, "depends_on", sources_[i].name_index,
             "chain of " + std::to_string(kMaxChainLength + 1) + " services " +
                 PathText(graph.Chain(i)),
             "at most " + std::to_string(kMaxChainLength) + " services on a chain");
    }
  }

  std::string PathText(const std::vector<std::uint32_t>& path) const {
    std::string text;
    for (std::size_t i = 0; i < path.size(); ++i) {
      if (i == kLongestPathInMessage) return text + " > ...";
      text += (i == 0 ? "" : " > ") + sources_[path[i]].name;
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
    Reject(position, field.c_str(), sources_[position].dependency_indexes[dependency],
           std::move(problem), std::move(expected));
  }

  ValueReader& reader_;
  const Sources& sources_;
  std::unordered_map<std::string_view, std::uint32_t> by_name_;
  std::unordered_map<std::uint32_t, std::size_t> seen_;
};

std::vector<Service> ToServices(Sources sources) {
  std::vector<Service> services;
  services.reserve(sources.size());
  for (ServiceSource& source : sources) {
    Service service;
    service.name = ServiceName(std::move(source.name));
    service.calls = source.calls;
    for (std::string& name : source.depends_on) service.depends_on.emplace_back(std::move(name));
    services.push_back(std::move(service));
  }
  return services;
}

}  // namespace

Validated<std::vector<Service>> ParseText(const std::string& text) {
  Validated<std::vector<Service>> result;
  ValueReader reader(text);
  Sources sources;
  if (reader.Parse()) {
    ReadObject(&reader, 0, FieldPath(), kTextRules, UnknownFields::kReject, &sources);
    ServiceChecks(&reader, sources).Run();
  }
  result.errors = reader.errors().Finish();
  if (result.ok()) result.value = ToServices(std::move(sources));
  return result;
}

}  // namespace primroseweir
