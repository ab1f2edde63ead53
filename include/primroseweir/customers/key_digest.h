#ifndef PRIMROSEWEIR_CUSTOMERS_KEY_DIGEST_H_
#define PRIMROSEWEIR_CUSTOMERS_KEY_DIGEST_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace primroseweir {

// Digest by which a key is looked up: HMAC-SHA256, truncated to 128 bits, under a secret that is
// random for each process. Callers can't predict the digest of a key, so the time of a look-up
// tells them nothing about the keys that exist, and a digest is useless outside of the process.
struct KeyDigest {
  std::array<unsigned char, 16> bytes{};

  static KeyDigest Of(std::string_view key);

  friend bool operator==(const KeyDigest& a, const KeyDigest& b) { return a.bytes == b.bytes; }
};

// Hash for unordered containers; the digest is already evenly distributed.
struct KeyDigestHash {
  std::size_t operator()(const KeyDigest& digest) const;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CUSTOMERS_KEY_DIGEST_H_
