#ifndef PRIMROSEWEIR_PEER_MESSAGE_SIGNER_H_
#define PRIMROSEWEIR_PEER_MESSAGE_SIGNER_H_

#include <cstddef>
#include <string>

namespace primroseweir {

// Signs messages between entry instances with HMAC-SHA256 under the fleet key, truncated to 16
// bytes. Safe for several threads.
//
// A signature doesn't prove that a message is new. A replayed datagram does no harm, because each
// of its parts is merged by maximum: member records by (incarnation, heartbeat), windows by (epoch,
// window), configuration by revision. Ages in a replayed record are too low, but a record that
// isn't newer is ignored, and MembershipTable keeps the last heartbeats of forgotten members.
// Reports and strikes of a datagram that is older than its sender's newest one are aged by the
// difference.
class MessageSigner {
 public:
  // `fleet_key` comes from the settings and must not be empty.
  explicit MessageSigner(std::string fleet_key);

  // The signature of `data`, kSignatureBytes long. `purpose` separates the kinds of messages, so
  // that a datagram's signature is not valid for a snapshot request.
  std::string Sign(const std::string& purpose, const std::string& data) const;

  // Compares in constant time.
  bool Verify(const std::string& purpose, const std::string& data,
              const std::string& signature) const;

  static constexpr std::size_t kSignatureBytes = 16;

 private:
  const std::string fleet_key_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_MESSAGE_SIGNER_H_
