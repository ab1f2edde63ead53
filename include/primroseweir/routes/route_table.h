#ifndef PRIMROSEWEIR_ROUTES_ROUTE_TABLE_H_
#define PRIMROSEWEIR_ROUTES_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/customers/customer_table.h"
#include "primroseweir/routes/caller_limits.h"
#include "primroseweir/routes/route.h"
#include "primroseweir/routes/service_settings.h"

namespace primroseweir {

// The routes, services and limits of one configuration. Immutable once built.
class RouteTable {
 public:
  // `version` is the number that the operators gave the configuration; a higher one is newer.
  // `customers` is null if the configuration has none, and calls then need no key.
  RouteTable(std::uint64_t version, std::vector<Route> routes,
             std::map<ServiceName, ServiceSettings> services, const CallerLimits& limits,
             std::shared_ptr<const CustomerTable> customers = nullptr);

  // Returns the route of that host with the longest prefix that matches the path of `target`; null
  // when none matches. Ignores a port in `host`, its case, and the query of `target`. Linear in the
  // number of different lengths of the host's prefixes.
  const Route* Find(std::string_view host, std::string_view target) const;

  // Returns whether a call to `target`, for which Find returned `route`, needs no customer's key.
  // An upstream may decode percent escapes, also repeatedly, and remove parameters of segments
  // (";v=1"), dot segments and repeated slashes, in any order; the route of each resulting path
  // must then be public, too.
  bool IsPublic(const Route& route, std::string_view target) const;

  // Returns the settings of a service; null when the configuration does not contain it.
  const ServiceSettings* FindService(const ServiceName& name) const;

  std::uint64_t version() const { return version_; }
  const std::vector<Route>& routes() const { return routes_; }
  const CallerLimits& limits() const { return limits_; }
  // Null if the configuration has no customers.
  const CustomerTable* customers() const { return customers_.get(); }

 private:
  const std::uint64_t version_;
  const std::vector<Route> routes_;
  const std::map<ServiceName, ServiceSettings> services_;
  const CallerLimits limits_;
  const std::shared_ptr<const CustomerTable> customers_;
  // The routes of one host.
  struct HostRoutes {
    // Indices into routes_. The keys refer to the prefixes in routes_.
    std::unordered_map<std::string_view, std::size_t> by_prefix;
    // The different lengths of the prefixes, longest first.
    std::vector<std::size_t> prefix_lengths;
  };

  const Route* FindPath(const std::string& host_key, std::string_view path) const;
  // Whether the routes of the path after each decoding, with and without its parameters, are
  // public.
  bool IsEachReadingPublic(const std::string& host_key, std::string path) const;

  // By lower-case host without port.
  std::unordered_map<std::string, HostRoutes> by_host_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTES_ROUTE_TABLE_H_
