#include "primroseweir/http/header_fields.h"

#include <algorithm>

namespace primroseweir {
namespace {

// Heads of ordinary requests stay below this size, and are not copied again.
constexpr std::size_t kMaxSpareBytes = 4096;

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

bool ListHasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const auto comma = list.find(',');
    if (EqualsIgnoreCase(Trim(list.substr(0, comma)), token)) {
      return true;
    }
    list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
  }
  return false;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return ToLower(x) == ToLower(y);
         });
}

void HeaderFields::Add(std::string_view name, std::string_view value) {
  const auto begin = static_cast<std::uint32_t>(text_.size());
  text_.append(name).append(value);
  entries_.push_back(
      {begin, static_cast<std::uint32_t>(name.size()), static_cast<std::uint32_t>(value.size())});
}

void HeaderFields::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

void HeaderFields::Remove(std::string_view name) {
  RemoveIf([name](std::string_view other) { return EqualsIgnoreCase(other, name); });
}

std::optional<std::string_view> HeaderFields::Find(std::string_view name) const {
  for (const auto& entry : entries_) {
    // The length is compared first: most fields differ in it.
    if (entry.name_bytes == name.size()) {
      const auto field = At(entry);
      if (EqualsIgnoreCase(field.first, name)) {
        return field.second;
      }
    }
  }
  return std::nullopt;
}

std::string HeaderFields::Get(std::string_view name) const {
  return std::string(Find(name).value_or(std::string_view()));
}

std::size_t HeaderFields::Count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
        return entry.name_bytes == name.size() && EqualsIgnoreCase(At(entry).first, name);
      }));
}

bool HeaderFields::HasToken(std::string_view name, std::string_view token) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    const auto field = At(entry);
    return EqualsIgnoreCase(field.first, name) && ListHasToken(field.second, token);
  });
}

HeaderFields::FieldCopies HeaderFields::Copies() const {
  FieldCopies copies;
  copies.reserve(entries_.size());
  for (const auto& [name, value] : all()) {
    copies.emplace_back(name, value);
  }
  return copies;
}

void HeaderFields::Assign(const FieldCopies& copies) {
  Clear();
  for (const auto& [name, value] : copies) {
    Add(name, value);
  }
}

void HeaderFields::Clear() {
  text_.clear();
  entries_.clear();
}

void HeaderFields::ReleaseSpareMemory() {
  const auto used_bytes = text_.size() + entries_.size() * sizeof(Entry);
  if (allocated_bytes() > used_bytes + kMaxSpareBytes) {
    text_.shrink_to_fit();
    entries_.shrink_to_fit();
  }
}

}  // namespace primroseweir
