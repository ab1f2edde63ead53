#ifndef PRIMROSEWEIR_GATEWAY_CALL_BODY_H_
#define PRIMROSEWEIR_GATEWAY_CALL_BODY_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "primroseweir/base/compact_append.h"

namespace primroseweir {

// Buffers the body of a call while it arrives from the caller. Bytes that were sent to an upstream
// stay buffered as long as memory allows, so that a refused call can be retried at another
// upstream. Once a byte has been discarded, the call can no longer be retried.
class CallBody {
 public:
  // `initial` is the complete body, or its first part.
  CallBody(std::string initial, bool is_complete)
      : buffered_(std::move(initial)), is_complete_(is_complete) {}

  void Append(std::string_view piece, bool last);
  // Discards all bytes before `offset`, which counts from the start of the body.
  void DiscardBefore(std::size_t offset);

  // Whether the end of the body has been received.
  bool is_complete() const { return is_complete_; }
  // Whether no byte was discarded, so that the body can be sent again from its start.
  bool is_replayable() const { return discarded_ == 0; }
  // Number of bytes received, including discarded ones.
  std::size_t received_bytes() const { return discarded_ + buffered_.size(); }
  // Bytes that were received and not discarded.
  const std::string& buffered() const { return buffered_; }
  std::size_t allocated_bytes() const { return AllocatedBytes(buffered_); }
  // Returns the received bytes from `offset` on, none of which may have been discarded.
  std::string BytesFrom(std::size_t offset) const { return buffered_.substr(offset - discarded_); }

  // Bytes of the body that enter the fingerprint by which the crash guard recognises a request.
  static constexpr std::size_t kMaxFingerprintedBytes = std::size_t{64} * 1024;

 private:
  std::string buffered_;
  std::size_t discarded_ = 0;
  bool is_complete_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_CALL_BODY_H_
