#ifndef PRIMROSEWEIR_FILTERS_RESPONSE_SINK_H_
#define PRIMROSEWEIR_FILTERS_RESPONSE_SINK_H_

#include <absl/status/status.h>

#include <string_view>

#include "primroseweir/base/time.h"

namespace primroseweir {

struct ResponseHead;

// Receives the response of a call. Errors as in SocketStream.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  // Sets the response head, which is sent with the first piece of the body, Flush or End.
  virtual void Begin(const ResponseHead& head) = 0;
  virtual absl::Status Write(std::string_view piece, Instant deadline) = 0;
  virtual absl::Status Flush(Instant deadline) = 0;
  virtual absl::Status End(std::string_view last_piece, Instant deadline) = 0;
  // Aborts the response in such a way that the caller cannot mistake it for a complete one.
  virtual void Abort() = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_RESPONSE_SINK_H_
