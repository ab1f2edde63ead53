#ifndef PRIMROSEWEIR_PEER_DATAGRAM_PACKER_H_
#define PRIMROSEWEIR_PEER_DATAGRAM_PACKER_H_

#include <cstddef>
#include <string>

#include "primroseweir/peer/gossip_message.h"
#include "primroseweir/peer/message_signer.h"

namespace primroseweir {

// Builds one signed datagram of bounded size. Callers add the most important records first; a
// record that does not fit is left out.
class DatagramPacker {
 public:
  // `limit` is the size of the datagram in bytes, signature included. It is capped at
  // kMaxDatagramBytes.
  DatagramPacker(const GossipHeader& header, std::size_t limit);

  // Appends a record. Returns false when it does not fit.
  bool Add(const MemberRecord& record);
  bool Add(const UpstreamObservation& observation);
  bool Add(const CrashStrike& strike);

  // Adds as many heartbeats as fit into `bytes`, starting with the first, and returns their number.
  // The first seat number in front of them counts towards `bytes`.
  std::size_t AddHeartbeats(const SeatHeartbeats& heartbeats, std::size_t bytes);

  // Bytes left for further records.
  std::size_t room() const { return limit_ > size() ? limit_ - size() : 0; }

  // Size of the datagram in bytes with the records added so far, signature included.
  std::size_t size() const;

  // Returns the datagram with its signature.
  std::string Finish(const MessageSigner& signer) const;

  static constexpr std::size_t kMaxDatagramBytes = 1'200;

 private:
  struct Section {
    std::string bytes;
    std::size_t count = 0;
  };

  bool AddRecord(const std::string& record, Section* section);

  const std::size_t limit_;
  std::string header_;
  Section members_;
  std::string heartbeats_;
  Section observations_;
  Section strikes_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DATAGRAM_PACKER_H_
