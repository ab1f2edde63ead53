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

// Forwards an upstream's response to the call's sink. An interrupted download is resumed once from
// another upstream with Range and If-Range; a response that cannot be resumed is aborted.
class ResponseRelay {
 public:
  // Requests the bytes from `offset` onwards from another upstream. Returns an attempt whose
  // response head has arrived, or null on failure.
  using ResumeFunction =
      std::function<std::unique_ptr<Attempt>(std::uint64_t offset, const std::string& etag)>;

  ResponseRelay(Call* call, ResumeFunction resume);

  // Forwards the head and the body of the response of `attempt`, which is replaced when the
  // download is resumed. Returns OK when the response was forwarded completely; otherwise it was
  // aborted: Cancelled when the connection to the caller failed, Unavailable when the upstream's
  // did.
  absl::Status Forward(std::unique_ptr<Attempt>* attempt);

 private:
  void Begin(const Attempt& attempt);
  absl::Status ForwardBody(Attempt* attempt);
  absl::Status ForwardPiece(Attempt* attempt, std::string_view piece, bool* is_complete);
  bool ResumeFrom(std::unique_ptr<Attempt>* attempt);
  bool IsContinuation(Attempt* attempt) const;

  Call* const call_;
  const ResumeFunction resume_;
  const MessageLimits limits_;
  std::uint64_t forwarded_ = 0;
  // Strong entity tag and body length in bytes; set only when the response can be resumed.
  std::string etag_;
  std::uint64_t content_length_ = 0;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DETAIL_RESPONSE_RELAY_H_
