#include "primroseweir/configuration/declarations_parser.h"

#include "primroseweir/configuration/detail/value_reader.h"

namespace primroseweir {
namespace {

using detail::FieldPath;
using detail::FieldRule;
using detail::JsonKind;
using detail::ReadObject;
using detail::UnknownFields;
using detail::ValueReader;

using DataCentres = std::set<DataCentre>;

void ReadOut(ValueReader* reader, std::size_t index, const FieldPath& path, DataCentres* out) {
  if (!reader->Expect(index, JsonKind::kArray, path, "an array of names of data centres")) return;
  const std::uint32_t end = reader->node(index).end;
  std::size_t position = 0;
  for (std::size_t child = index + 1; child < end; child = reader->node(child).end) {
    std::string name;
    if (reader->ReadName(child, path.Element(position++), &name)) out->emplace(std::move(name));
  }
}

constexpr FieldRule<DataCentres> kDeclarationRules[] = {{"out", true, ReadOut}};

}  // namespace

Validated<DataCentres> ParseDeclarations(const std::string& text) {
  Validated<DataCentres> result;
  ValueReader reader(text);
  if (reader.Parse()) {
    ReadObject(&reader, 0, FieldPath(), kDeclarationRules, UnknownFields::kReject, &result.value);
  }
  result.errors = reader.errors().Finish();
  if (!result.ok()) result.value.clear();
  return result;
}

}  // namespace primroseweir
