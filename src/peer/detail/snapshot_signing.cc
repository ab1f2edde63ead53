#include "primroseweir/peer/detail/snapshot_signing.h"

#include <cstdint>

namespace primroseweir {
namespace detail {
namespace {

constexpr char kRequestPurpose[] = "snapshot request";
constexpr char kResponsePurpose[] = "snapshot answer";

std::string ToHexadecimal(const std::string& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    const auto byte = static_cast<std::uint8_t>(c);
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 15]);
  }
  return text;
}

// Compares in constant time: for strings of equal length, the duration does not depend on where
// they differ.
bool IsEqualInConstantTime(const std::string& a, const std::string& b) {
  if (a.size() != b.size()) return false;
  int difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) difference |= a[i] ^ b[i];
  return difference == 0;
}

}  // namespace

JsonRpcSigning SnapshotSigning(const MessageSigner* signer) {
  JsonRpcSigning signing;
  signing.sign_request = [signer](const std::string& body) {
    return ToHexadecimal(signer->Sign(kRequestPurpose, body));
  };
  signing.verify_request = [signer](const std::string& body, const std::string& signature) {
    return IsEqualInConstantTime(ToHexadecimal(signer->Sign(kRequestPurpose, body)), signature);
  };
  signing.sign_response = [signer](const std::string& request_signature, const std::string& body) {
    return ToHexadecimal(signer->Sign(kResponsePurpose, request_signature + body));
  };
  return signing;
}

}  // namespace detail
}  // namespace primroseweir
