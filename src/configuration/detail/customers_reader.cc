#include "primroseweir/configuration/detail/customers_reader.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "primroseweir/configuration/customer_priority.h"
#include "primroseweir/configuration/detail/value_reader.h"
#include "primroseweir/configuration/value_limits.h"

namespace primroseweir::detail {

// A customer with the nodes that later errors refer to.
struct ParsedCustomer {
  CustomerTable::Entry entry;
  std::size_t name_index = 0;
  std::size_t burst_index = 0;
  std::vector<std::size_t> key_indexes;
};

namespace {

constexpr char kExpectedName[] = "1 to 63 characters of a-z, 0-9 and -";

// Whether a caller can send the key in a header field.
bool IsValidKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyBytes &&
         std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
}

void ReadName(ValueReader* reader, std::size_t index, const FieldPath& path,
              ParsedCustomer* customer) {
  if (!reader->Expect(index, JsonKind::kString, path, kExpectedName)) return;
  if (!IsValidName(reader->text(index))) {
    reader->Reject(index, path, "bad name", kExpectedName);
    return;
  }
  customer->entry.customer.name = CustomerName(std::string(reader->text(index)));
  customer->name_index = index;
}

void ReadKeys(ValueReader* reader, std::size_t index, const FieldPath& path,
              ParsedCustomer* customer) {
  if (!reader->Expect(index, JsonKind::kArray, path, "an array of keys")) return;
  const std::string expected =
      "1 to " + std::to_string(kMaxKeyBytes) + " visible ASCII characters without spaces";
  const std::uint32_t end = reader->node(index).end;
  std::size_t position = 0;
  for (std::size_t child = index + 1; child < end; child = reader->node(child).end) {
    const FieldPath element = path.Element(position++);
    if (!reader->Expect(child, JsonKind::kString, element, expected.c_str())) continue;
    if (!IsValidKey(reader->text(child))) {
      reader->Reject(child, element, reader->text(child).empty() ? "empty key" : "bad key",
                     expected);
      continue;
    }
    customer->entry.keys.emplace_back(reader->text(child));
    customer->key_indexes.push_back(child);
  }
}

void ReadPriority(ValueReader* reader, std::size_t index, const FieldPath& path,
                  ParsedCustomer* customer) {
  constexpr char kExpected[] = "normal or refreshable";
  if (!reader->Expect(index, JsonKind::kString, path, kExpected)) return;
  for (const std::uint32_t priority : {kNormalCustomerPriority, kRefreshableCustomerPriority}) {
    if (reader->text(index) == NameOfCustomerPriority(priority)) {
      customer->entry.customer.priority = priority;
      return;
    }
  }
  reader->Reject(index, path, "unknown value", kExpected);
}

void ReadRate(ValueReader* reader, std::size_t index, const FieldPath& path,
              ParsedCustomer* customer) {
  std::uint64_t rate = 0;
  if (reader->ReadNumber(index, path, 1, kMaxCustomerRate, &rate)) {
    customer->entry.customer.rate = static_cast<double>(rate);
  }
}

void ReadBurst(ValueReader* reader, std::size_t index, const FieldPath& path,
               ParsedCustomer* customer) {
  std::uint64_t burst = 0;
  if (reader->ReadNumber(index, path, 0, kMaxCustomerRate, &burst)) {
    customer->entry.customer.burst = static_cast<double>(burst);
  }
  customer->burst_index = index;
}

constexpr FieldRule<ParsedCustomer> kCustomerRules[] = {
    {"name", true, ReadName},  {"keys", true, ReadKeys},    {"priority", false, ReadPriority},
    {"rate", false, ReadRate}, {"burst", false, ReadBurst},
};

}  // namespace

std::vector<CustomerTable::Entry> CustomersReader::Read(std::size_t index, const FieldPath& path) {
  if (!reader_.Expect(index, JsonKind::kArray, path, "an array of customers")) return {};
  const std::uint32_t end = reader_.node(index).end;
  std::size_t position = 0;
  for (std::size_t child = index + 1; child < end; child = reader_.node(child).end) {
    const FieldPath element = path.Element(position);
    ParsedCustomer customer;
    ReadObject(&reader_, child, element, kCustomerRules, UnknownFields::kRejectWithoutName,
               &customer);
    if (customer.burst_index != 0 && !customer.entry.customer.has_quota()) {
      reader_.Reject(customer.burst_index, element.Member("burst"), "a burst without a rate",
                     "rate in the same customer");
    }
    entries_.push_back(customer.entry);
    CheckName(customer, position, element);
    CheckKeys(customer, position, element);
    ++position;
  }
  return std::move(entries_);
}

void CustomersReader::CheckName(const ParsedCustomer& customer, std::size_t position,
                                const FieldPath& path) {
  if (customer.name_index == 0) return;
  const std::string_view name = reader_.text(customer.name_index);
  const auto [first, inserted] = by_name_.emplace(name, NamedAt{position, customer.name_index});
  if (inserted) return;
  const std::size_t line = reader_.errors().LineOf(reader_.node(first->second.name_index).offset);
  reader_.Reject(customer.name_index, path.Member("name"),
                 "duplicate name " + Quote(name) + ", first on line " + std::to_string(line),
                 "each name once");
}

void CustomersReader::CheckKeys(const ParsedCustomer& customer, std::size_t position,
                                const FieldPath& path) {
  const FieldPath keys = path.Member("keys");
  for (std::size_t i = 0; i < customer.key_indexes.size(); ++i) {
    const std::size_t index = customer.key_indexes[i];
    const auto [holder, inserted] = holders_.emplace(reader_.text(index), position);
    if (inserted) continue;
    const auto& first = entries_[holder->second].customer.name.value();
    const auto& second = customer.entry.customer.name.value();
    reader_.Reject(index, keys.Element(i),
                   holder->second == position
                       ? "customer " + Quote(second) + " has this key twice"
                       : "customers " + Quote(first) + " and " + Quote(second) + " share a key",
                   "each key once");
  }
}

}  // namespace primroseweir::detail
