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
  CallBody(std::string first, bool whole) : held_(std::move(first)), whole_(whole) {}

  void Append(std::string_view piece, bool last);
  // Drops what lies before `position`.
  void DropBefore(std::size_t position);

  // Whether the end has arrived.
  bool whole() const { return whole_; }
  // Whether it can be sent from its start.
  bool replayable() const { return dropped_ == 0; }
  // Bytes that arrived, dropped ones included.
  std::size_t arrived() const { return dropped_ + held_.size(); }
  // Bytes at hand: all that arrived, while it is replayable.
  const std::string& held() const { return held_; }
  // What arrived from `position` on, which must not have been dropped.
  std::string From(std::size_t position) const { return held_.substr(position - dropped_); }

  // Part of a body that identifies a call, for telling whether it crashes upstreams.
  static constexpr std::size_t kIdentifying = std::size_t{64} * 1024;

 private:
  std::string held_;
  std::size_t dropped_ = 0;
  bool whole_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_CALL_BODY_H_
