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

// The settings that the naive entry instance uses. They come from the same file as those of the
// real entry instance.
struct NaiveSettings {
  SocketAddress caller_address;
  SocketAddress configuration_service;
  std::vector<SocketAddress> peers;
};

// An entry instance without protective mechanisms: it picks listed upstreams round-robin, opens a
// connection for each call and retries every call that got no response. A test with real processes
// that covers a mechanism must fail against it, and its figures serve as the baseline.
class NaiveEntry {
 public:
  explicit NaiveEntry(NaiveSettings settings) : settings_(std::move(settings)) {}

  // Serves callers until accepting fails. Errors: Unavailable, such as for a caller address in use.
  absl::Status Run();

 private:
  void PollInstances();
  void ReadInstances();
  void ServeConnection(Socket socket);
  // Serves one request; returns false when the connection to the caller must be closed.
  bool ServeRequest(const HttpHead& request, const std::string& body, Socket* caller);
  bool ServeAddresses(Socket* caller);
  // Sends one attempt to an upstream. Returns nullopt when no response head arrived, otherwise
  // whether the complete response was forwarded to the caller.
  std::optional<bool> TryUpstream(const SocketAddress& upstream, const std::string& request,
                                  bool body_allowed, Socket* caller);
  std::vector<SocketAddress> UpstreamsOf(const std::string& service);

  const NaiveSettings settings_;
  std::mutex mutex_;
  std::map<std::string, std::vector<SocketAddress>> upstreams_;
  std::atomic<std::uint64_t> next_upstream_{0};
};

}  // namespace primroseweir::standins

#endif  // STANDINS_NAIVE_NAIVE_ENTRY_H_
