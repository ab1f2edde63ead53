#ifndef PRIMROSEWEIR_HTTP_BODY_FRAMING_H_
#define PRIMROSEWEIR_HTTP_BODY_FRAMING_H_

#include <cstdint>

namespace primroseweir {

// How the end of a message's body is found.
enum class BodyKind { kNone, kLength, kChunked, kUntilClose };

struct BodyFraming {
  BodyKind kind = BodyKind::kNone;
  // Bytes of the body; valid for kLength.
  std::uint64_t length = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_BODY_FRAMING_H_
