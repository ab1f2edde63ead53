#ifndef PRIMROSEWEIR_FILTERS_DETAIL_RESPONSE_RELAY_H_
#define PRIMROSEWEIR_FILTERS_DETAIL_RESPONSE_RELAY_H_

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "primroseweir/base/time.h"
#include "primroseweir/http/message_limits.h"

namespace primroseweir {

struct Call;

namespace detail {

class Attempt;

// Passes an upstream's answer on to the call's sink. A download that breaks is resumed from another
// upstream with Range and If-Range, once; an answer that can't be resumed is cut.
class ResponseRelay {
 public:
  // Sends the request for the bytes from `offset` on to another upstream and reads the head of the
  // answer; null when that is not possible.
  using Resume =
      std::function<std::unique_ptr<Attempt>(std::uint64_t offset, const std::string& etag)>;

  ResponseRelay(Call* call, Resume resume);

  // Passes head and body of the answer of `attempt`, which may be replaced by a resumed one. OK
  // when the whole answer was passed; Cancelled, the caller is gone; else the answer was cut.
  absl::Status Forward(std::unique_ptr<Attempt>* attempt);

 private:
  void Begin(const Attempt& attempt);
  absl::Status ForwardBody(Attempt* attempt);
  absl::Status ForwardPiece(Attempt* attempt, std::string_view piece, bool* ended);
  bool ResumeFrom(std::unique_ptr<Attempt>* attempt);
  bool IsContinuation(Attempt* attempt) const;

  Call* const call_;
  const Resume resume_;
  const MessageLimits limits_;
  std::uint64_t forwarded_ = 0;
  // Set when the answer can be resumed: its strong entity tag and its length.
  std::string etag_;
  std::uint64_t length_ = 0;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DETAIL_RESPONSE_RELAY_H_
