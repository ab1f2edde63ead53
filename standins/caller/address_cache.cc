#include "caller/address_cache.h"

#include <nlohmann/json.hpp>

#include "primroseweir/base/error.h"
#include "wire/fetch.h"

namespace primroseweir::standins {
namespace {

using Json = nlohmann::json;

constexpr auto kRequestTimeout = std::chrono::seconds(1);
constexpr char kAddressTarget[] = "/primroseweir/addresses?caller=";

absl::Status InvalidResponse(const std::string& message) {
  return MakeError(absl::StatusCode::kDataLoss, {"read address response", ""}, message);
}

AddressResponse DecodeResponse(const Json& object, Instant now) {
  AddressResponse response;
  for (const Json& text : object.at("addresses")) {
    const auto address = ParseSocketAddress(text.get<std::string>());
    if (address.ok()) response.addresses.push_back(*address);
  }
  response.valid_until = now + std::chrono::milliseconds(object.at("valid_ms").get<int>());
  response.call_key_prefix = object.at("call_key_prefix").get<std::string>();
  response.key_valid_until =
      now + std::chrono::milliseconds(object.at("call_key_valid_ms").get<int>());
  return response;
}

}  // namespace

absl::StatusOr<AddressResponse> ParseAddressResponse(const std::string& body, Instant now) {
  const Json object = Json::parse(body, nullptr, false);
  if (!object.is_object()) return InvalidResponse("is not a JSON object");
  try {
    AddressResponse response = DecodeResponse(object, now);
    if (response.addresses.empty()) return InvalidResponse("holds no valid address");
    return response;
  } catch (const Json::exception& error) {
    return InvalidResponse(error.what());
  }
}

absl::StatusOr<AddressResponse> AddressCache::QueryAll() {
  std::vector<SocketAddress> candidates = cached_.addresses;
  candidates.insert(candidates.end(), initial_addresses_.begin(), initial_addresses_.end());
  absl::Status last_error = InvalidResponse("no address is known");
  for (const SocketAddress& address : candidates) {
    const Instant requested_at = MonotonicNow();
    const auto response = Get(address, kAddressTarget + caller_id_, kRequestTimeout);
    if (!response.ok()) {
      last_error = response.status();
      continue;
    }
    auto parsed = ParseAddressResponse(response->body, requested_at);
    if (parsed.ok()) {
      cached_ = *parsed;
      return parsed;
    }
    last_error = parsed.status();
  }
  return last_error;
}

absl::StatusOr<AddressResponse> AddressCache::Current() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (MonotonicNow() < cached_.valid_until && !cached_.addresses.empty()) return cached_;
  return QueryAll();
}

absl::StatusOr<AddressResponse> AddressCache::Refresh() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return QueryAll();
}

}  // namespace primroseweir::standins
