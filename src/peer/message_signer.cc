#include "primroseweir/peer/message_signer.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <utility>

namespace primroseweir {

MessageSigner::MessageSigner(std::string fleet_key) : fleet_key_(std::move(fleet_key)) {}

std::string MessageSigner::Sign(const std::string& purpose, const std::string& data) const {
  std::string input = purpose;
  // Terminates the purpose, so that two different pairs of purpose and data never give the same
  // input.
  input.push_back('\0');
  input += data;
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int length = 0;
  HMAC(EVP_sha256(), fleet_key_.data(), static_cast<int>(fleet_key_.size()),
       reinterpret_cast<const unsigned char*>(input.data()), input.size(), digest, &length);
  return std::string(reinterpret_cast<const char*>(digest), kSignatureBytes);
}

bool MessageSigner::Verify(const std::string& purpose, const std::string& data,
                           const std::string& signature) const {
  if (signature.size() != kSignatureBytes) return false;
  const std::string expected = Sign(purpose, data);
  return CRYPTO_memcmp(expected.data(), signature.data(), kSignatureBytes) == 0;
}

}  // namespace primroseweir
