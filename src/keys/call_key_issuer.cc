#include "primroseweir/keys/call_key_issuer.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstddef>
#include <utility>

#include "primroseweir/base/random.h"
#include "primroseweir/keys/call_key.h"

namespace primroseweir {
namespace {

constexpr std::size_t kMacBytes = 16;
// Prefixed to the signed text, so that a MAC made with the fleet key for another purpose is not a
// valid MAC of a call key.
constexpr char kMacPurpose[] = "call-key:";

std::string ToHex(const unsigned char* data, std::size_t size) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < size; ++i) {
    text += kDigits[data[i] >> 4];
    text += kDigits[data[i] & 15];
  }
  return text;
}

}  // namespace

CallKeyIssuer::CallKeyIssuer(std::string fleet_key, const InstanceId& instance,
                             Incarnation incarnation)
    : fleet_key_(std::move(fleet_key)), instance_(instance), incarnation_(incarnation) {}

std::string CallKeyIssuer::MakePrefix(Instant now) const {
  thread_local Random random(EntropySeed());
  const auto expiry = ToMilliseconds((now + kValidity).time_since_epoch());
  const auto signed_part = instance_.value() + "." + std::to_string(incarnation_.value()) + "." +
                           std::to_string(random.UniformBelow(UINT64_MAX)) + "." +
                           std::to_string(expiry);
  return signed_part + "." + ComputeMac(signed_part);
}

std::string CallKeyIssuer::ComputeMac(const std::string& signed_part) const {
  const std::string text = kMacPurpose + signed_part;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  HMAC(EVP_sha256(), fleet_key_.data(), static_cast<int>(fleet_key_.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
  return ToHex(digest.data(), kMacBytes);
}

bool CallKeyIssuer::Verify(const CallKey& key) const {
  const auto expected = ComputeMac(key.signed_part);
  return key.mac.size() == expected.size() &&
         CRYPTO_memcmp(key.mac.data(), expected.data(), expected.size()) == 0;
}

bool CallKeyIssuer::IsIssuedHere(const CallKey& key) const {
  return key.issuer == instance_ && key.incarnation == incarnation_;
}

}  // namespace primroseweir
