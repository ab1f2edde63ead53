#ifndef PRIMROSEWEIR_PEER_DATAGRAM_PACKER_H_
#define PRIMROSEWEIR_PEER_DATAGRAM_PACKER_H_

#include <cstddef>
#include <string>

#include "primroseweir/peer/gossip_message.h"
#include "primroseweir/peer/message_signer.h"

namespace primroseweir {

// Builds one datagram of bounded size. Records are added in order of importance; one that doesn't
// fit is left out.
class DatagramPacker {
 public:
  // `limit` is in bytes with the signature and at most kMaximumBytes.
  DatagramPacker(const GossipHeader& header, std::size_t limit);

  // True when the record fitted.
  bool Add(const MemberRecord& record);
  bool Add(const UpstreamObservation& observation);
  bool Add(const CrashStrike& strike);

  // Adds as many heartbeats as fit into `bytes`, beginning with the first, and answers how many.
  std::size_t AddHeartbeats(const SeatHeartbeats& heartbeats, std::size_t bytes);

  // Bytes that are left.
  std::size_t room() const { return limit_ > size() ? limit_ - size() : 0; }

  // Bytes of the datagram with the records added so far.
  std::size_t size() const;

  // The signed datagram.
  std::string Finish(const MessageSigner& signer) const;

  static constexpr std::size_t kMaximumBytes = 1'200;

 private:
  struct Section {
    std::string bytes;
    std::size_t count = 0;
  };

  bool AddRecord(const std::string& record, Section* section);

  const std::size_t limit_;
  std::string head_;
  Section members_;
  std::string heartbeats_;
  Section observations_;
  Section strikes_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DATAGRAM_PACKER_H_
