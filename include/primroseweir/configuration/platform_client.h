#ifndef PRIMROSEWEIR_CONFIGURATION_PLATFORM_CLIENT_H_
#define PRIMROSEWEIR_CONFIGURATION_PLATFORM_CLIENT_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/configuration/platform_reader.h"

namespace primroseweir {

// Reads the configuration service over HTTP (docs/design.md, section 4). One thread at a time.
class PlatformClient : public PlatformReader {
 public:
  struct Options {
    // Addresses of the service from the settings; at least one.
    std::vector<SocketAddress> addresses;
    // The address to begin with, so that instances spread over them.
    std::size_t first = 0;
  };

  explicit PlatformClient(const Options& options);
  ~PlatformClient() override;

  absl::StatusOr<std::optional<ConfigurationValue>> Read(const std::string& key, Revision after,
                                                         Duration wait, Duration limit) override;
  void UseNextAddress() override;
  void Cancel() override;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_PLATFORM_CLIENT_H_
