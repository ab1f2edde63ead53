#include "caller/address_book.h"

#include <nlohmann/json.hpp>

#include "primroseweir/base/error.h"
#include "wire/fetch.h"

namespace primroseweir::standins {
namespace {

using Json = nlohmann::json;

constexpr auto kAskTimeout = std::chrono::seconds(1);
constexpr char kAddressTarget[] = "/primroseweir/addresses?caller=";

absl::Status Invalid(const std::string& message) {
  return MakeError(absl::StatusCode::kDataLoss, {"read address answer", ""}, message);
}

AddressResponse FromJson(const Json& object, Instant now) {
  AddressResponse response;
  for (const Json& text : object.at("addresses")) {
    const auto address = ParseSocketAddress(text.get<std::string>());
    if (address.ok()) response.addresses.push_back(*address);
  }
  response.valid_until = now + std::chrono::milliseconds(object.at("valid_ms").get<int>());
  response.call_key_prefix = object.at("call_key_prefix").get<std::string>();
  response.call_key_valid_until =
      now + std::chrono::milliseconds(object.at("call_key_valid_ms").get<int>());
  return response;
}

}  // namespace

absl::StatusOr<AddressResponse> ParseAddressResponse(const std::string& body, Instant now) {
  const Json object = Json::parse(body, nullptr, false);
  if (!object.is_object()) return Invalid("is not a JSON object");
  try {
    AddressResponse response = FromJson(object, now);
    if (response.addresses.empty()) return Invalid("names no address");
    return response;
  } catch (const Json::exception& error) {
    return Invalid(error.what());
  }
}

absl::StatusOr<AddressResponse> AddressCache::QueryAll() {
  std::vector<SocketAddress> candidates = kept_.addresses;
  candidates.insert(candidates.end(), known_.begin(), known_.end());
  absl::Status last = Invalid("no address is known");
  for (const SocketAddress& address : candidates) {
    const Instant asked = MonotonicNow();
    const auto response = Get(address, kAddressTarget + caller_, kAskTimeout);
    if (!response.ok()) {
      last = response.status();
      continue;
    }
    auto parsed = ParseAddressResponse(response->body, asked);
    if (parsed.ok()) {
      kept_ = *parsed;
      return parsed;
    }
    last = parsed.status();
  }
  return last;
}

absl::StatusOr<AddressResponse> AddressCache::Current() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (MonotonicNow() < kept_.valid_until && !kept_.addresses.empty()) return kept_;
  return QueryAll();
}

absl::StatusOr<AddressResponse> AddressCache::Renew() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return QueryAll();
}

}  // namespace primroseweir::standins
