#include "primroseweir/customers/key_digest.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <cstring>

#include "primroseweir/base/random.h"

namespace primroseweir {
namespace {

using Secret = std::array<unsigned char, 32>;

const Secret& ProcessSecret() {
  static const Secret kSecret = [] {
    Secret secret{};
    if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1) {
      const auto seed = EntropySeed();
      std::memcpy(secret.data(), &seed, sizeof seed);
    }
    return secret;
  }();
  return kSecret;
}

}  // namespace

KeyDigest KeyDigest::Of(std::string_view key) {
  const auto& secret = ProcessSecret();
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(key.data()), key.size(), mac.data(), &size);
  KeyDigest digest;
  std::copy_n(mac.begin(), digest.bytes.size(), digest.bytes.begin());
  return digest;
}

std::size_t KeyDigestHash::operator()(const KeyDigest& digest) const {
  std::size_t hash = 0;
  std::memcpy(&hash, digest.bytes.data(), sizeof hash);
  return hash;
}

}  // namespace primroseweir
