#ifndef PRIMROSEWEIR_PEER_USAGE_DATAGRAM_H_
#define PRIMROSEWEIR_PEER_USAGE_DATAGRAM_H_

#include <absl/status/statusor.h>

#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/customers/customer_usage.h"

namespace primroseweir {

class MessageSigner;

// Datagram with what an instance reports of its customers with quotas. A kind of its own, with a
// version that DecodeGossip refuses: instances of earlier versions count it as refused and ignore
// its content. Replays are harmless, because counts are cumulative within an incarnation.
struct UsageDatagram {
  InstanceId sender;
  Incarnation incarnation;
  UsageReport usage;
};

// Encodes and signs. Customers and addresses that don't fit into a datagram are left out, those
// with the most recent calls last. Linear in the report.
std::string EncodeUsage(const UsageDatagram& datagram, const MessageSigner& signer);

// Whether the datagram claims to be of this kind. Its signature is not verified.
bool IsUsageDatagram(const std::string& datagram);

// Verifies the signature and decodes. Errors as DecodeGossip. Linear in the length.
absl::StatusOr<UsageDatagram> DecodeUsage(const std::string& datagram, const std::string& peer,
                                          const MessageSigner& signer);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_USAGE_DATAGRAM_H_
