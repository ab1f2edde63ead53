#include "wire/target.h"

#include <charconv>

namespace primroseweir::standins {

std::string PathOf(const std::string& target) { return target.substr(0, target.find('?')); }

std::string ValueInQuery(const std::string& target, const std::string& name) {
  std::size_t separator = target.find('?');
  while (separator != std::string::npos) {
    const std::size_t end = target.find('&', separator + 1);
    const std::string pair =
        target.substr(separator + 1, end == std::string::npos ? end : end - separator - 1);
    if (pair.rfind(name + "=", 0) == 0) return pair.substr(name.size() + 1);
    separator = end;
  }
  return "";
}

std::uint64_t NumberInQuery(const std::string& target, const std::string& name) {
  const std::string text = ValueInQuery(target, name);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace primroseweir::standins
