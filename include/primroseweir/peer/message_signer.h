#ifndef PRIMROSEWEIR_PEER_MESSAGE_SIGNER_H_
#define PRIMROSEWEIR_PEER_MESSAGE_SIGNER_H_

#include <cstddef>
#include <string>

namespace primroseweir {

// Signs messages between entry instances with HMAC-SHA256 under the fleet key, truncated to 16
// bytes. Thread-safe.
//
// A signature does not prove that a message is new. Replayed datagrams are harmless, because each
// part is merged by taking the maximum: member records by (incarnation, heartbeat), windows by
// (epoch, window), configuration by revision. The ages in a replayed member record are too low, but
// a record that is not newer is ignored, and MembershipTable keeps the last heartbeats of removed
// members as tombstones. If a datagram was sent before the newest one received from its sender, the
// difference is added to the ages of its load reports and crash strikes.
class MessageSigner {
 public:
  // `fleet_key` comes from the settings and must not be empty.
  explicit MessageSigner(std::string fleet_key);

  // Returns the signature of `data`, kSignatureBytes long. `purpose` separates the kinds of
  // messages, so that the signature of a datagram is not valid for a snapshot request.
  std::string Sign(const std::string& purpose, const std::string& data) const;

  // Returns whether `signature` is valid. Compares in constant time.
  bool Verify(const std::string& purpose, const std::string& data,
              const std::string& signature) const;

  static constexpr std::size_t kSignatureBytes = 16;

 private:
  const std::string fleet_key_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_MESSAGE_SIGNER_H_
