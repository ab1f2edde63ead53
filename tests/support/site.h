#ifndef TESTS_SUPPORT_SITE_H_
#define TESTS_SUPPORT_SITE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "support/child_process.h"
#include "support/network.h"
#include "support/relay.h"
#include "support/site_plan.h"
#include "wire/fetch.h"

namespace primroseweir::testing {

// Runs entry instances, stand-in upstreams and the stand-in configuration service as processes on a
// loopback network of their own, with settings and logs in a folder below the build folder. Throws
// std::runtime_error with the log of the process when one fails to start. The destructor stops all
// processes.
class Site {
 public:
  using Json = nlohmann::json;

  // Starts all processes and waits until the address response of each entry instance lists all
  // instances.
  explicit Site(SitePlan plan);
  // Removes the folder, unless an exception is propagating, as after a failed REQUIRE, or a check
  // failed since the start of the site: then prints the path of the folder to standard error and
  // keeps it.
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  // ---- entry instances ----

  // Starts another instance in that data centre, waits until it responds and returns its index. A
  // negative `seat` selects the number of instances so far, which is the next free seat when all
  // instances were numbered this way.
  int StartEntry(const std::string& data_centre, int seat = -1);
  // Kills the instance if it is running and starts it again with the same addresses and seat.
  // Returns at once when `wait` is false, otherwise when the instance responds.
  void RestartEntry(int index, bool wait = true);
  ChildProcess& entry(int index) { return *entries_.at(index).process; }
  int entry_count() const { return static_cast<int>(entries_.size()); }
  SocketAddress CallerAddress(int index) const;
  SocketAddress AdminAddress(int index) const;
  std::vector<SocketAddress> CallerAddresses() const;
  const std::string& DataCentreOf(int index) const { return entries_.at(index).data_centre; }
  // Sends a GET with the operator token to the admin port. Errors: as standins::Fetch.
  absl::StatusOr<standins::HttpResponse> Admin(int index, const std::string& target) const;
  // Returns the parsed body of /status, or null when the instance does not respond.
  Json FetchStatus(int index) const;
  // Waits until the address response lists at least `count` addresses. Returns false after
  // `timeout`.
  bool WaitForAddresses(int index, int count, Duration timeout) const;

  // ---- configuration service ----

  // Sets a value and returns its revision.
  std::uint64_t SetValue(const std::string& key, const std::string& value);
  // Declares exactly these data centres out of service and returns the revision.
  std::uint64_t DeclareOut(const std::set<std::string>& data_centres);
  // Sets the state of the upstream in the instance list, "live" or "leaving", and returns the
  // revision of the list. "" removes the upstream from the list.
  std::uint64_t SetListedState(const std::string& upstream, const std::string& state);
  // Sends a POST to the control port of the stand-in, such as "/down" or "/freeze?who=IP:PORT".
  void ControlConfigurationService(const std::string& target, const std::string& body = "");
  // Returns the address from which instances of that data centre read the configuration.
  SocketAddress ConfigurationAddress(const std::string& data_centre) const;
  std::string ServicesText() const;

  // ---- upstreams ----

  ChildProcess& upstream(const std::string& id) { return *upstreams_.at(id).process; }
  Relay& relay(const std::string& id) { return *upstreams_.at(id).relay; }
  void RestartUpstream(const std::string& id);
  std::vector<std::string> UpstreamIds(const std::string& service) const;
  const std::string& UpstreamDataCentre(const std::string& id) const;
  // Returns the state and counters of the stand-in.
  Json UpstreamState(const std::string& id) const;
  // Sends a POST to the control port of one upstream, such as "/modes".
  void Control(const std::string& id, const std::string& target, const std::string& body = "");
  // Returns the number of executions of each booking over all upstreams of the service, including
  // executions in progress.
  std::map<std::string, int> Executions(const std::string& service) const;
  // Returns the sum of a counter over all upstreams of the service.
  std::uint64_t SumCounter(const std::string& service, const std::string& counter) const;

  // Returns the ids of all processes, separated by commas.
  std::string PidsText() const;
  // Returns for each entry instance whether it runs or with which exit code it ended.
  std::string DescribeEntries();
  const std::string& folder() const { return folder_; }
  const Network& network() const { return network_; }
  const std::string& operator_token() const { return operator_token_; }

  // Sets the function that returns the number of failed checks of the process so far. The demo,
  // which has no checks, sets none.
  static void SetFailureCounter(std::function<std::uint64_t()> counter);

  // Returns the path of a binary of this build; `path` is relative to the build folder.
  static std::string Binary(const std::string& path);

 private:
  struct Entry {
    std::string data_centre;
    int seat = 0;
    std::string settings_path;
    std::unique_ptr<ChildProcess> process;
  };
  struct Upstream {
    std::string service;
    std::string data_centre;
    std::string state = "live";
    int host = 0;
    const ServicePlan* plan = nullptr;
    std::unique_ptr<Relay> relay;
    std::unique_ptr<ChildProcess> process;
  };

  void StartConfiguration();
  void StartUpstreams();
  void StartUpstreamProcess(const std::string& id, Upstream* upstream);
  void WriteEntrySettings(int index);
  std::string InstancesText() const;
  std::string WriteFile(const std::string& name, const std::string& text) const;
  void WaitForLogOrThrow(ChildProcess* process, const std::string& text) const;

  const SitePlan plan_;
  const Network network_;
  const std::string folder_;
  const std::string fleet_key_;
  const std::string operator_token_;
  const std::uint64_t failures_at_start_;
  const int exceptions_at_start_;
  std::unique_ptr<ChildProcess> configuration_;
  std::map<std::string, Upstream> upstreams_;
  std::vector<Entry> entries_;
};

}  // namespace primroseweir::testing

#endif  // TESTS_SUPPORT_SITE_H_
