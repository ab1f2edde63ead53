#ifndef STANDINS_CALLER_ADDRESS_CACHE_H_
#define STANDINS_CALLER_ADDRESS_CACHE_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace primroseweir::standins {

// The response to a request for the addresses of the entry instances, and how long its parts are
// valid.
struct AddressResponse {
  std::vector<SocketAddress> addresses;
  Instant valid_until;
  std::string call_key_prefix;
  Instant key_valid_until;
};

// Fetches the addresses of the entry instances that a caller should use, and caches the response
// until it expires. Thread-safe.
class AddressCache {
 public:
  // `initial_addresses` are queried until a response is cached, and after it whenever the cached
  // addresses fail. `caller_id` is sent with each request; the order of the returned addresses
  // depends on it, so that callers spread over the instances.
  explicit AddressCache(std::vector<SocketAddress> initial_addresses,
                        std::string caller_id = "caller")
      : initial_addresses_(std::move(initial_addresses)), caller_id_(std::move(caller_id)) {}

  // Returns the cached response, or fetches a new one if it has expired. Errors: those of the last
  // address tried, when no address gave a valid response.
  absl::StatusOr<AddressResponse> Current();

  // Fetches a new response although the cached one may be valid, for a new call key prefix. Errors:
  // as Current.
  absl::StatusOr<AddressResponse> Refresh();

 private:
  // Queries the cached, then the initial addresses until one gives a valid response, and caches it.
  absl::StatusOr<AddressResponse> QueryAll();

  std::mutex mutex_;
  std::vector<SocketAddress> initial_addresses_;
  const std::string caller_id_;
  AddressResponse cached_;
};

// Parses the JSON body of an address response; validity times count from `now`. Errors: DataLoss,
// the message says what is wrong.
absl::StatusOr<AddressResponse> ParseAddressResponse(const std::string& body, Instant now);

}  // namespace primroseweir::standins

#endif  // STANDINS_CALLER_ADDRESS_CACHE_H_
