#include "primroseweir/routes/route_table.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace primroseweir {
namespace {

// A path with more layers of percent escapes is not public. Servers decode once or twice.
constexpr int kMaxDecodings = 3;

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string HostKey(std::string_view host) {
  host = host.substr(0, host.find(':'));
  std::string key(host);
  std::transform(key.begin(), key.end(), key.begin(), &ToLower);
  return key;
}

// Returns the value of a hexadecimal digit; -1 for another character.
int HexadecimalValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const char lower = ToLower(c);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string DecodePercent(std::string_view text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_escape = text[i] == '%' && i + 2 < text.size() &&
                           HexadecimalValue(text[i + 1]) >= 0 && HexadecimalValue(text[i + 2]) >= 0;
    if (is_escape) {
      result +=
          static_cast<char>(HexadecimalValue(text[i + 1]) * 16 + HexadecimalValue(text[i + 2]));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

// Returns the path without the parameters of its segments, from a semicolon to the next slash.
std::string WithoutParameters(std::string_view path) {
  std::string result;
  bool is_parameter = false;
  for (const char c : path) {
    is_parameter = c == ';' || (is_parameter && c != '/');
    if (!is_parameter) {
      result += c;
    }
  }
  return result;
}

// Returns the path without dot segments and repeated slashes.
std::string NormalizePath(std::string_view path) {
  std::string result = "/";
  std::size_t begin = 0;
  while (begin < path.size()) {
    const auto slash = std::min(path.find('/', begin), path.size());
    const auto segment = path.substr(begin, slash - begin);
    if (segment == "..") {
      result.pop_back();
      result.erase(result.rfind('/') == std::string::npos ? 0 : result.rfind('/') + 1);
      result = result.empty() ? "/" : result;
    } else if (!segment.empty() && segment != ".") {
      result += segment;
      result += slash < path.size() ? "/" : "";
    }
    begin = slash + 1;
  }
  return result;
}

}  // namespace

RouteTable::RouteTable(std::uint64_t version, std::vector<Route> routes,
                       std::map<ServiceName, ServiceSettings> services, const CallerLimits& limits,
                       std::shared_ptr<const CustomerTable> customers)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      limits_(limits),
      customers_(std::move(customers)) {
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    auto& host_routes = by_host_[HostKey(routes_[i].host)];
    // The first of several routes with the same prefix is used.
    host_routes.by_prefix.emplace(routes_[i].prefix, i);
    host_routes.prefix_lengths.push_back(routes_[i].prefix.size());
  }
  for (auto& [host, host_routes] : by_host_) {
    auto& lengths = host_routes.prefix_lengths;
    std::sort(lengths.begin(), lengths.end(), std::greater<>());
    lengths.erase(std::unique(lengths.begin(), lengths.end()), lengths.end());
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view target) const {
  return FindPath(HostKey(host), target.substr(0, target.find('?')));
}

const Route* RouteTable::FindPath(const std::string& host_key, std::string_view path) const {
  const auto found = by_host_.find(host_key);
  if (found == by_host_.end()) {
    return nullptr;
  }
  for (const auto length : found->second.prefix_lengths) {
    const auto route = length > path.size() ? found->second.by_prefix.end()
                                            : found->second.by_prefix.find(path.substr(0, length));
    if (route != found->second.by_prefix.end()) {
      return &routes_[route->second];
    }
  }
  return nullptr;
}

bool RouteTable::IsPublic(const Route& route, std::string_view target) const {
  const auto path = target.substr(0, target.find('?'));
  const bool is_plain = path.find_first_of("%;") == std::string_view::npos &&
                        path.find("//") == std::string_view::npos &&
                        path.find("/.") == std::string_view::npos;
  if (!route.is_public || is_plain) {
    return route.is_public;
  }
  const auto host_key = HostKey(route.host);
  return IsEachReadingPublic(host_key, std::string(path)) &&
         IsEachReadingPublic(host_key, WithoutParameters(path));
}

bool RouteTable::IsEachReadingPublic(const std::string& host_key, std::string path) const {
  for (int decodings = 0; decodings <= kMaxDecodings; ++decodings) {
    for (const auto& reading : {NormalizePath(path), NormalizePath(WithoutParameters(path))}) {
      const auto* route = FindPath(host_key, reading);
      if (route == nullptr || !route->is_public) {
        return false;
      }
    }
    auto decoded = DecodePercent(path);
    if (decoded == path) {
      return true;
    }
    path = std::move(decoded);
  }
  return false;
}

const ServiceSettings* RouteTable::FindService(const ServiceName& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace primroseweir
