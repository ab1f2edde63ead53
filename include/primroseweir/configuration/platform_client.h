#ifndef PRIMROSEWEIR_CONFIGURATION_PLATFORM_CLIENT_H_
#define PRIMROSEWEIR_CONFIGURATION_PLATFORM_CLIENT_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/configuration/platform_reader.h"

namespace primroseweir {

// Reads the configuration service over HTTP by `GET /v1/values/KEY?after=N&wait_ms=M`. Not
// thread-safe, except for Cancel().
class PlatformClient : public PlatformReader {
 public:
  struct Options {
    // Addresses of the configuration service; at least one.
    std::vector<SocketAddress> addresses;
    // Index of the address used first, modulo their number. Differs between instances to spread
    // their reads over the addresses.
    std::size_t first = 0;
  };

  explicit PlatformClient(const Options& options);
  ~PlatformClient() override;

  absl::StatusOr<std::optional<ConfigurationValue>> Read(const std::string& key, Revision after,
                                                         Duration wait, Duration timeout) override;
  void UseNextAddress() override;
  void Cancel() override;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_PLATFORM_CLIENT_H_
