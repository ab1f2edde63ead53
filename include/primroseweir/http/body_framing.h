#ifndef PRIMROSEWEIR_HTTP_BODY_FRAMING_H_
#define PRIMROSEWEIR_HTTP_BODY_FRAMING_H_

#include <cstdint>

namespace primroseweir {

// How a message delimits its body.
enum class BodyKind { kNone, kLength, kChunked, kUntilClose };

struct BodyFraming {
  BodyKind kind = BodyKind::kNone;
  // Body size in bytes; valid only for kLength.
  std::uint64_t length = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_BODY_FRAMING_H_
