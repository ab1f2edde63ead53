#include "primroseweir/routes/route_table.h"

#include <algorithm>
#include <utility>

namespace primroseweir {
namespace {

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string HostKey(std::string_view host) {
  host = host.substr(0, host.find(':'));
  std::string key(host);
  std::transform(key.begin(), key.end(), key.begin(), &ToLower);
  return key;
}

bool BeginsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
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
    by_host_[HostKey(routes_[i].host)].push_back(i);
  }
  for (auto& [host, positions] : by_host_) {
    std::stable_sort(positions.begin(), positions.end(), [this](std::size_t a, std::size_t b) {
      return routes_[a].prefix.size() > routes_[b].prefix.size();
    });
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view target) const {
  const auto found = by_host_.find(HostKey(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  const auto path = target.substr(0, target.find('?'));
  for (const auto position : found->second) {
    if (BeginsWith(path, routes_[position].prefix)) {
      return &routes_[position];
    }
  }
  return nullptr;
}

const ServiceSettings* RouteTable::FindService(const ServiceName& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace primroseweir
