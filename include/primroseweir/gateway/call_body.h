#ifndef PRIMROSEWEIR_GATEWAY_CALL_BODY_H_
#define PRIMROSEWEIR_GATEWAY_CALL_BODY_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace primroseweir {

// The body of a call while it arrives from its caller. What was sent to an upstream stays at hand
// as long as there is memory for it, so that a call that the upstream refused can go to another
// one; once some of it was dropped, the call can be sent nowhere else.
class CallBody {
 public:
  // `first` is the whole body, or its first part.
  CallBody(std::string first, bool is_complete)
      : buffered_(std::move(first)), is_complete_(is_complete) {}

  void Append(std::string_view piece, bool last);
  // Drops what lies before `position`.
  void DiscardBefore(std::size_t position);

  // Whether the end has arrived.
  bool is_complete() const { return is_complete_; }
  // Whether it can be sent from its start.
  bool is_replayable() const { return discarded_ == 0; }
  // Bytes that arrived, dropped ones included.
  std::size_t received_bytes() const { return discarded_ + buffered_.size(); }
  // Bytes at hand: all that arrived, while it is replayable.
  const std::string& buffered() const { return buffered_; }
  // What arrived from `position` on, which must not have been dropped.
  std::string BytesFrom(std::size_t position) const {
    return buffered_.substr(position - discarded_);
  }

  // Part of a body that identifies a call, for telling whether it crashes upstreams.
  static constexpr std::size_t kMaxFingerprintedBytes = std::size_t{64} * 1024;

 private:
  std::string buffered_;
  std::size_t discarded_ = 0;
  bool is_complete_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_CALL_BODY_H_
