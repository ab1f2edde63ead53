#ifndef PRIMROSEWEIR_TESTS_SUPPORT_CROWD_SHAPES_H_
#define PRIMROSEWEIR_TESTS_SUPPORT_CROWD_SHAPES_H_

#include <cstddef>
#include <functional>
#include <string>

#include "support/crowd.h"
#include "support/crowd_requests.h"

namespace primroseweir::testing {

// Where a crowd goes, and what bounds a request there.
struct CrowdTarget {
  // Opens connections that stay until the end of the test.
  std::function<Crowd&(int size)> add_crowd;
  std::string path;
  // The legal sizes. The crowds stay inside them unless their names say otherwise.
  std::size_t body_bytes = 0;
  std::size_t head_bytes = 0;
};

// What a crowd sends. Each is small enough for tests of seconds, and large enough that, held whole,
// it exceeds the memory of the machine or fills its connections.

inline void SendBodiesInOnePiece(const CrowdTarget& target) {
  target.add_crowd(60).Send(ByteShort(target.path, target.body_bytes), target.body_bytes * 2);
}

inline void SendBodiesInSmallPieces(const CrowdTarget& target) {
  target.add_crowd(60).Send(ByteShort(target.path, target.body_bytes), 4 * kKilobyte);
}

inline void SendBodiesInChunks(const CrowdTarget& target) {
  target.add_crowd(60).Send(ChunksWithoutEnd(target.path, target.body_bytes, 4 * kKilobyte),
                            kLargePiece);
}

// Far over the limit, with a length and without end.
inline void SendBodiesTooLarge(const CrowdTarget& target) {
  target.add_crowd(30).Send(
      ByteShort(target.path, 8 * target.body_bytes).substr(0, 2 * target.body_bytes), kLargePiece);
  target.add_crowd(30).Send(ChunksWithoutEnd(target.path, 4 * target.body_bytes, 16 * kKilobyte),
                            kLargePiece);
}

// Heads of very many short fields, with bodies without an end, and without an end themselves.
inline void SendManyFields(const CrowdTarget& target) {
  const auto start = OpenHead(target.path);
  target.add_crowd(60).Send(ManyFields(start + "Content-Length: 100000\r\n", target.head_bytes) +
                                "\r\n" + std::string(70000, 'x'),
                            kLargePiece);
  target.add_crowd(60).Send(ManyFields(start, target.head_bytes), kKilobyte);
}

// Stops half-way through a head and through a body, with and without closing the sending side.
inline void StopHalfWay(const CrowdTarget& target) {
  const auto head = OpenHead(target.path);
  const auto body = ByteShort(target.path, target.body_bytes).substr(0, target.body_bytes / 2);
  target.add_crowd(30).Send(head.substr(0, head.size() / 2), kLargePiece);
  target.add_crowd(30).Send(body, kLargePiece);
  for (const auto& bytes : {head, body, GetRequest(target.path)}) {
    auto& half_closed = target.add_crowd(30);
    half_closed.Send(bytes, kLargePiece);
    half_closed.ShutdownWrite();
  }
}

inline void SendRequestsAhead(const CrowdTarget& target) {
  target.add_crowd(60).Send(Repeat(GetRequest(target.path), 5000), kLargePiece);
}

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_SUPPORT_CROWD_SHAPES_H_
