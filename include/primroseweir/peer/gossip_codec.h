#ifndef PRIMROSEWEIR_PEER_GOSSIP_CODEC_H_
#define PRIMROSEWEIR_PEER_GOSSIP_CODEC_H_

#include <absl/status/statusor.h>

#include <string>

#include "primroseweir/peer/gossip_message.h"
#include "primroseweir/peer/message_signer.h"

namespace primroseweir {

// Checks the signature of a datagram and reads its content. `peer` is the address it came from, for
// the error. Errors: PermissionDenied for a wrong signature, Unimplemented for an unknown version,
// InvalidArgument for any other fault; the step is "decode datagram". Linear in the length.
absl::StatusOr<GossipMessage> DecodeGossip(const std::string& datagram, const std::string& peer,
                                           const MessageSigner& signer);

// The purpose under which datagrams are signed.
constexpr char kGossipPurpose[] = "gossip";

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_GOSSIP_CODEC_H_
