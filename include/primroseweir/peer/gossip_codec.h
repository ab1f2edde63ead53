#ifndef PRIMROSEWEIR_PEER_GOSSIP_CODEC_H_
#define PRIMROSEWEIR_PEER_GOSSIP_CODEC_H_

#include <absl/status/statusor.h>

#include <string>

#include "primroseweir/peer/gossip_message.h"
#include "primroseweir/peer/message_signer.h"

namespace primroseweir {

// Verifies the signature of a datagram and decodes its content. `peer` is the source address, which
// errors carry. Errors: PermissionDenied for an invalid signature, Unimplemented for an unknown
// version, InvalidArgument for any other fault; their step is "decode datagram". Linear in the
// length.
absl::StatusOr<GossipMessage> DecodeGossip(const std::string& datagram, const std::string& peer,
                                           const MessageSigner& signer);

// Purpose under which MessageSigner signs datagrams.
constexpr char kGossipPurpose[] = "gossip";

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_GOSSIP_CODEC_H_
