#ifndef STANDINS_NAIVE_NAIVE_ENTRY_H_
#define STANDINS_NAIVE_NAIVE_ENTRY_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "wire/http_head.h"
#include "wire/http_reader.h"
#include "wire/listener.h"

namespace primroseweir::standins {

// The settings that the naive entry instance uses, from the same file as the real one.
struct NaiveSettings {
  SocketAddress caller_address;
  SocketAddress configuration_service;
  std::vector<SocketAddress> peers;
};

// An entry instance without any mechanism: it takes turns over all listed upstreams, opens a
// connection for each call and repeats every call that got no answer. The tests with real processes
// have to fail against it where they prove a mechanism, and its figures are the baseline.
class NaiveEntry {
 public:
  explicit NaiveEntry(NaiveSettings settings) : settings_(std::move(settings)) {}

  // Serves until the process ends. Errors: Unavailable, the caller address is in use.
  absl::Status Run();

 private:
  void FollowList();
  void ReadList();
  void ServeConnection(Socket socket);
  // False when the connection to the caller must end.
  bool Serve(const HttpHead& request, const std::string& body, Socket* caller);
  bool ServeAddresses(Socket* caller);
  // Nothing when the upstream gave no answer; else whether the whole answer was passed on.
  std::optional<bool> TryUpstream(const SocketAddress& upstream, const std::string& request,
                                  bool body_allowed, Socket* caller);
  std::vector<SocketAddress> UpstreamsOf(const std::string& service);

  const NaiveSettings settings_;
  std::mutex mutex_;
  std::map<std::string, std::vector<SocketAddress>> upstreams_;
  std::atomic<std::uint64_t> next_{0};
};

}  // namespace primroseweir::standins

#endif  // STANDINS_NAIVE_NAIVE_ENTRY_H_
