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

AddressAnswer FromJson(const Json& object, Instant now) {
  AddressAnswer answer;
  for (const Json& text : object.at("addresses")) {
    const auto address = ParseSocketAddress(text.get<std::string>());
    if (address.ok()) answer.addresses.push_back(*address);
  }
  answer.valid_until = now + std::chrono::milliseconds(object.at("valid_ms").get<int>());
  answer.call_key_prefix = object.at("call_key_prefix").get<std::string>();
  answer.call_key_valid_until =
      now + std::chrono::milliseconds(object.at("call_key_valid_ms").get<int>());
  return answer;
}

}  // namespace

absl::StatusOr<AddressAnswer> ParseAddressAnswer(const std::string& body, Instant now) {
  const Json object = Json::parse(body, nullptr, false);
  if (!object.is_object()) return Invalid("is not a JSON object");
  try {
    AddressAnswer answer = FromJson(object, now);
    if (answer.addresses.empty()) return Invalid("names no address");
    return answer;
  } catch (const Json::exception& error) {
    return Invalid(error.what());
  }
}

absl::StatusOr<AddressAnswer> AddressBook::AskAll() {
  std::vector<SocketAddress> candidates = kept_.addresses;
  candidates.insert(candidates.end(), known_.begin(), known_.end());
  absl::Status last = Invalid("no address is known");
  for (const SocketAddress& address : candidates) {
    const Instant asked = MonotonicNow();
    const auto answer = Get(address, kAddressTarget + caller_, kAskTimeout);
    if (!answer.ok()) {
      last = answer.status();
      continue;
    }
    auto parsed = ParseAddressAnswer(answer->body, asked);
    if (parsed.ok()) {
      kept_ = *parsed;
      return parsed;
    }
    last = parsed.status();
  }
  return last;
}

absl::StatusOr<AddressAnswer> AddressBook::Current() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (MonotonicNow() < kept_.valid_until && !kept_.addresses.empty()) return kept_;
  return AskAll();
}

absl::StatusOr<AddressAnswer> AddressBook::Renew() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return AskAll();
}

}  // namespace primroseweir::standins
