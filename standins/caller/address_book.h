#ifndef STANDINS_CALLER_ADDRESS_BOOK_H_
#define STANDINS_CALLER_ADDRESS_BOOK_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace primroseweir::standins {

// The answer to an address request.
struct AddressResponse {
  std::vector<SocketAddress> addresses;
  Instant valid_until;
  std::string call_key_prefix;
  Instant call_key_valid_until;
};

// Asks the system which addresses to use and keeps the answer as long as it is valid. Safe for
// several threads.
class AddressCache {
 public:
  // `known` are the addresses that the caller asks at first, before it has an answer. The order of
  // the answer depends on the caller's id, so that callers spread.
  explicit AddressCache(std::vector<SocketAddress> known, std::string caller = "caller")
      : known_(std::move(known)), caller_(std::move(caller)) {}

  // The kept answer, or a new one when none is valid. Errors: Unavailable, no address answered.
  absl::StatusOr<AddressResponse> Current();

  // A new answer although the kept one is valid, for a new call key prefix.
  absl::StatusOr<AddressResponse> Renew();

 private:
  absl::StatusOr<AddressResponse> QueryAll();

  std::mutex mutex_;
  std::vector<SocketAddress> known_;
  const std::string caller_;
  AddressResponse kept_;
};

// Reads the JSON body of an address answer. DataLoss names what is wrong.
absl::StatusOr<AddressResponse> ParseAddressResponse(const std::string& body, Instant now);

}  // namespace primroseweir::standins

#endif  // STANDINS_CALLER_ADDRESS_BOOK_H_
