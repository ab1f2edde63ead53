#include "primroseweir/http/header_fields.h"

#include <algorithm>

namespace primroseweir {
namespace {

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
  fields_.emplace_back(std::string(name), std::string(value));
}

void HeaderFields::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

void HeaderFields::Remove(std::string_view name) {
  const auto has_name = [name](const Field& field) { return EqualsIgnoreCase(field.first, name); };
  fields_.erase(std::remove_if(fields_.begin(), fields_.end(), has_name), fields_.end());
}

const std::string* HeaderFields::Find(std::string_view name) const {
  for (const auto& field : fields_) {
    if (EqualsIgnoreCase(field.first, name)) {
      return &field.second;
    }
  }
  return nullptr;
}

std::string HeaderFields::Get(std::string_view name) const {
  const auto* value = Find(name);
  return value == nullptr ? std::string() : *value;
}

std::size_t HeaderFields::Count(std::string_view name) const {
  const auto has_name = [name](const Field& field) { return EqualsIgnoreCase(field.first, name); };
  return static_cast<std::size_t>(std::count_if(fields_.begin(), fields_.end(), has_name));
}

bool HeaderFields::HasToken(std::string_view name, std::string_view token) const {
  return std::any_of(fields_.begin(), fields_.end(), [&](const Field& field) {
    return EqualsIgnoreCase(field.first, name) && ListHasToken(field.second, token);
  });
}

}  // namespace primroseweir
