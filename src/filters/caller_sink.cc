#include "primroseweir/filters/caller_sink.h"

#include "primroseweir/http/response_head.h"
#include "primroseweir/http/server_connection.h"

namespace primroseweir {

void CallerSink::Begin(const ResponseHead& head) { connection_->Begin(head); }

absl::Status CallerSink::Write(std::string_view piece, Instant deadline) {
  return connection_->WriteBody(piece, deadline);
}

absl::Status CallerSink::Flush(Instant deadline) { return connection_->Flush(deadline); }

absl::Status CallerSink::End(std::string_view last_piece, Instant deadline) {
  return connection_->End(last_piece, deadline);
}

void CallerSink::Abort() { connection_->Abort(); }

}  // namespace primroseweir
