#ifndef PRIMROSEWEIR_FLEET_PEER_LOADS_H_
#define PRIMROSEWEIR_FLEET_PEER_LOADS_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "primroseweir/base/time.h"
#include "primroseweir/fleet/load_digest.h"

namespace primroseweir {

// Calls of the other instances at each upstream, from their newest digests.
class PeerLoads {
 public:
  // Replaces what `peer` said before.
  void Take(const std::string& peer, const std::vector<UpstreamUse>& uses, Instant now);

  // Calls of all peers per upstream hash, without peers that fell silent. Linear in the digests.
  std::unordered_map<std::uint64_t, std::uint32_t> Sums(Instant now);

  // A peer with calls in flight sends a digest more often than this.
  static constexpr Duration kValidity = std::chrono::milliseconds(400);

 private:
  struct Digest {
    std::vector<UpstreamUse> uses;
    Instant heard;
  };

  std::map<std::string, Digest> digests_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_PEER_LOADS_H_
