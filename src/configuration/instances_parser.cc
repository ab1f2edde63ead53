#include "primroseweir/configuration/instances_parser.h"

#include <set>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "primroseweir/configuration/detail/value_reader.h"

namespace primroseweir {
namespace {

using detail::FieldPath;
using detail::FieldRule;
using detail::JsonKind;
using detail::Quote;
using detail::UnknownFields;
using detail::ValueReader;

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxProbeBytes = 1024;
constexpr std::uint64_t kMaxSlotsOrConnections = 1'000'000;
constexpr std::uint64_t kMaxProbeCostMilliseconds = 3'600'000;
// Data centres in a list. The planned number is 7; the bound limits the memory that a faulty list
// can take.
constexpr std::size_t kMaxParts = 64;

// State while a list is parsed.
struct ParsedList {
  InstanceList list;
  bool has_upstreams = false;
  // Data centre whose part is parsed; null for `instances`.
  const DataCentre* part_data_centre = nullptr;
  std::unordered_set<std::string> ids;
};

void ReadId(ValueReader* reader, std::size_t index, const FieldPath& path, UpstreamRecord* record) {
  std::string text;
  if (reader->ReadText(index, path, kMaxIdBytes, &text)) record->id = UpstreamId(std::move(text));
}

void ReadService(ValueReader* reader, std::size_t index, const FieldPath& path,
                 UpstreamRecord* record) {
  std::string name;
  if (reader->ReadName(index, path, &name)) record->service = ServiceName(std::move(name));
}

void ReadDataCentre(ValueReader* reader, std::size_t index, const FieldPath& path,
                    UpstreamRecord* record) {
  std::string name;
  if (reader->ReadName(index, path, &name)) record->data_centre = DataCentre(std::move(name));
}

void ReadAddress(ValueReader* reader, std::size_t index, const FieldPath& path,
                 UpstreamRecord* record) {
  constexpr char kExpected[] = "an IPv4 address and a port such as 10.0.0.1:8080";
  if (!reader->Expect(index, JsonKind::kString, path, kExpected)) return;
  const auto address = ParseSocketAddress(std::string(reader->text(index)));
  if (!address.ok() || address->port == 0) {
    reader->Reject(index, path, "bad address " + Quote(reader->text(index)), kExpected);
    return;
  }
  record->address = *address;
}

template <std::uint32_t UpstreamRecord::*kField>
void ReadCount(ValueReader* reader, std::size_t index, const FieldPath& path,
               UpstreamRecord* record) {
  std::uint64_t number = 0;
  if (reader->ReadNumber(index, path, 1, kMaxSlotsOrConnections, &number)) {
    record->*kField = static_cast<std::uint32_t>(number);
  }
}

void ReadProbe(ValueReader* reader, std::size_t index, const FieldPath& path,
               UpstreamRecord* record) {
  std::string text;
  if (!reader->ReadText(index, path, kMaxProbeBytes, &text)) return;
  bool is_valid = text.front() == '/';
  for (const char c : text) is_valid = is_valid && c > ' ' && c < 0x7f;
  if (!is_valid) {
    reader->Reject(index, path, "bad probe target " + Quote(text),
                   "a path from / in printable ASCII without spaces");
  }
  record->probe_target = std::move(text);
}

void ReadProbeCost(ValueReader* reader, std::size_t index, const FieldPath& path,
                   UpstreamRecord* record) {
  std::uint64_t number = 0;
  if (reader->ReadNumber(index, path, 0, kMaxProbeCostMilliseconds, &number)) {
    record->probe_cost = std::chrono::milliseconds(number);
  }
}

void ReadState(ValueReader* reader, std::size_t index, const FieldPath& path,
               UpstreamRecord* record) {
  constexpr char kExpected[] = "live or leaving";
  if (!reader->Expect(index, JsonKind::kString, path, kExpected)) return;
  const std::string_view state = reader->text(index);
  if (state != "live" && state != "leaving") {
    reader->Reject(index, path, "unknown value " + Quote(state), kExpected);
  }
  record->state = state == "leaving" ? ListedState::kLeaving : ListedState::kLive;
}

constexpr FieldRule<UpstreamRecord> kUpstreamRules[] = {
    {"id", true, ReadId},
    {"service", true, ReadService},
    {"data_centre", true, ReadDataCentre},
    {"address", true, ReadAddress},
    {"slots", true, ReadCount<&UpstreamRecord::slots>},
    {"connections", true, ReadCount<&UpstreamRecord::connections>},
    {"probe", false, ReadProbe},
    {"probe_cost_ms", false, ReadProbeCost},
    {"state", true, ReadState},
};

void CheckRecord(ValueReader* reader, std::size_t index, const FieldPath& path,
                 const UpstreamRecord& record, ParsedList* parsed) {
  const std::string& id = record.id.value();
  if (!id.empty() && !parsed->ids.insert(id).second) {
    reader->Reject(index, path.Member("id"), "duplicate id " + Quote(id), "each id once");
  }
  if (!record.probe_target.empty() && record.probe_cost <= Duration::zero()) {
    reader->Reject(index, path.Member("probe_cost_ms"), "a probe without a cost",
                   "a whole number from 1 where a probe is named");
  }
  const bool is_misplaced = parsed->part_data_centre != nullptr && !record.data_centre.empty() &&
                            record.data_centre != *parsed->part_data_centre;
  if (is_misplaced) {
    reader->Reject(index, path.Member("data_centre"),
                   "data centre " + Quote(record.data_centre.value()) + " in the part of " +
                       Quote(parsed->part_data_centre->value()),
                   "upstreams of that data centre only");
  }
}

void ReadUpstreams(ValueReader* reader, std::size_t index, const FieldPath& path,
                   ParsedList* parsed) {
  parsed->has_upstreams = true;
  if (!reader->Expect(index, JsonKind::kArray, path, "an array of upstreams")) return;
  const std::uint32_t end = reader->node(index).end;
  std::size_t position = 0;
  for (std::size_t child = index + 1; child < end; child = reader->node(child).end) {
    const FieldPath element = path.Element(position++);
    UpstreamRecord record;
    ReadObject(reader, child, element, kUpstreamRules, UnknownFields::kIgnore, &record);
    CheckRecord(reader, child, element, record, parsed);
    parsed->list.upstreams.push_back(std::move(record));
  }
}

void ReadParts(ValueReader* reader, std::size_t index, const FieldPath& path, ParsedList* parsed) {
  parsed->list.is_divided = true;
  if (!reader->Expect(index, JsonKind::kArray, path, "an array of names of data centres")) return;
  std::set<DataCentre> names;
  const std::uint32_t end = reader->node(index).end;
  std::size_t position = 0;
  for (std::size_t child = index + 1; child < end; child = reader->node(child).end) {
    const FieldPath element = path.Element(position++);
    std::string name;
    if (!reader->ReadName(child, element, &name)) continue;
    if (!names.emplace(name).second) {
      reader->Reject(child, element, "duplicate name " + Quote(name), "each part once");
    }
    parsed->list.parts.emplace_back(std::move(name));
  }
  if (position > kMaxParts) {
    reader->Reject(index, path, "the list has " + std::to_string(position) + " parts",
                   "at most " + std::to_string(kMaxParts) + " parts");
  }
}

constexpr FieldRule<ParsedList> kListRules[] = {
    {"upstreams", false, ReadUpstreams},
    {"parts", false, ReadParts},
};

constexpr FieldRule<ParsedList> kPartRules[] = {{"upstreams", true, ReadUpstreams}};

Validated<InstanceList> Finish(ValueReader* reader, ParsedList parsed) {
  Validated<InstanceList> result;
  result.errors = reader->errors().Finish();
  if (result.ok()) result.value = std::move(parsed.list);
  return result;
}

}  // namespace

Validated<InstanceList> ParseInstances(const std::string& text) {
  ValueReader reader(text);
  ParsedList parsed;
  if (reader.Parse()) {
    ReadObject(&reader, 0, FieldPath(), kListRules, UnknownFields::kIgnore, &parsed);
    const bool is_object = reader.node(0).kind == JsonKind::kObject;
    if (is_object && parsed.has_upstreams == parsed.list.is_divided) {
      reader.Reject(0, FieldPath(),
                    parsed.has_upstreams ? "both upstreams and parts" : "no upstreams or parts",
                    "either upstreams or parts");
    }
  }
  return Finish(&reader, std::move(parsed));
}

Validated<InstanceList> ParseInstancesPart(const std::string& text, const DataCentre& data_centre) {
  ValueReader reader(text);
  ParsedList parsed;
  parsed.part_data_centre = &data_centre;
  if (reader.Parse()) {
    ReadObject(&reader, 0, FieldPath(), kPartRules, UnknownFields::kIgnore, &parsed);
  }
  return Finish(&reader, std::move(parsed));
}

}  // namespace primroseweir
