#ifndef PRIMROSEWEIR_FILTERS_CALLER_SINK_H_
#define PRIMROSEWEIR_FILTERS_CALLER_SINK_H_

#include "primroseweir/filters/response_sink.h"

namespace primroseweir {

class ServerConnection;

// Writes a response to the caller's connection.
class CallerSink : public ResponseSink {
 public:
  // `connection` must outlive the sink.
  explicit CallerSink(ServerConnection* connection) : connection_(connection) {}

  void Begin(const ResponseHead& head) override;
  absl::Status Write(std::string_view piece, Instant deadline) override;
  absl::Status Flush(Instant deadline) override;
  absl::Status End(std::string_view last_piece, Instant deadline) override;
  void Abort() override;

 private:
  ServerConnection* const connection_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_CALLER_SINK_H_
