// Exchanges the usage of customers with quotas, and tells FleetQuota how much of the fleet is
// heard.
#include <algorithm>
#include <set>
#include <utility>

#include "primroseweir/base/line_log.h"
#include "primroseweir/fleet/fleet_codec.h"
#include "primroseweir/fleet/subset_picker.h"
#include "primroseweir/gateway/fleet_service.h"
#include "primroseweir/gateway/gateway.h"
#include "primroseweir/gateway/gateway_metrics.h"
#include "primroseweir/routes/route_table.h"

namespace primroseweir {

void FleetService::SendUsageReport() {
  const auto now = clock_();
  auto& quota = gateway_->quota();
  auto usage = quota.UsageToReport(now);
  usage_report_scheduled_ = usage.has_value();
  if (!usage) {
    return;
  }
  usage_timer_.Start(FleetQuota::kReportInterval);
  if (usage_targets_.empty()) {
    RefreshUsageTargets(now);
    gateway_->metrics().SetQuotaShare(quota.usable_share(now));
  }
  FleetMessage message;
  message.members = {table_.self()};
  message.usage = std::move(usage);
  const auto datagram = EncodeFleetMessage(message);
  const auto count = std::min(usage_targets_.size(), FleetQuota::kMaxReportTargets);
  for (std::size_t i = 0; i < count; ++i) {
    Send(usage_targets_[next_usage_target_++ % usage_targets_.size()], datagram);
  }
}

// Callers of any data centre may use the same customer's keys.
void FleetService::RefreshUsageTargets(Instant now) {
  const auto& routes = gateway_->state().routes;
  if (routes == nullptr || routes->customers() == nullptr) {
    return;
  }
  auto fleet = table_.LivePeers(now);
  fleet.push_back(table_.self());
  for (auto& member : fleet) {
    // After a power failure, callers use these instances as soon as they have a configuration.
    member.leaving = false;
  }
  std::set<DataCentre> data_centres;
  std::set<std::string> targets;
  for (const auto& member : fleet) {
    if (data_centres.insert(member.data_centre).second) {
      const auto picked = SubsetPicker::Pick(fleet, member.data_centre);
      targets.insert(picked.begin(), picked.end());
    }
  }
  const bool is_serving = targets.count(table_.self().ip) > 0;
  gateway_->quota().SetServingInstances(targets.size(), is_serving);
  std::vector<std::uint32_t> expected;
  for (const auto& ip : targets) {
    expected.push_back(AddressBits(ip));
  }
  gateway_->quota().ExpectAnswers(expected, now);
  for (const auto address : gateway_->quota().ActivePeers(now)) {
    targets.insert(AddressText(address));
  }
  targets.erase(table_.self().ip);
  usage_targets_.assign(targets.begin(), targets.end());
}

void FleetService::UpdateQuotaView(Instant now) {
  auto& quota = gateway_->quota();
  quota.SetPeakFleetSize(table_.PeakSize(now));
  auto census = table_.Count(now);
  const bool has_other_seed = std::any_of(
      seeds_.begin(), seeds_.end(), [this](const auto& ip) { return ip != table_.self().ip; });
  if (census.possible == 1 && has_other_seed && !has_received_from_peer_) {
    // It may be a part of any fleet, if it was cut off before it started.
    census.possible = FleetTable::kUnknownFleetSize;
  }
  quota.SetFleetView(census.live, census.possible);
}

// An instance that begins to report is answered at once, so that it knows that it is in touch.
void FleetService::AnswerUsage(const std::string& ip, Instant now) {
  auto answer = gateway_->quota().AnswerTo(AddressBits(ip), now);
  if (!answer) {
    return;
  }
  FleetMessage message;
  message.members = {table_.self()};
  message.usage = std::move(answer);
  Send(ip, EncodeFleetMessage(message));
}

void FleetService::ProbeSilentPeers(Instant now) {
  auto& quota = gateway_->quota();
  if (!quota.has_quotas()) {
    return;
  }
  auto silent = table_.SilentPeers(now);
  for (const auto address : quota.SilentPeers(now)) {
    silent.push_back(AddressText(address));
  }
  stop_detector_.Probe(silent, now);
}

void FleetService::RecordStopped(const std::string& ip) {
  const auto now = clock_();
  table_.RecordStopped(ip, now);
  gateway_->quota().RecordStopped(AddressBits(ip));
  UpdateQuotaView(now);
  log_->Write("peer_stopped", {{"peer", ip}}, now);
}

}  // namespace primroseweir
