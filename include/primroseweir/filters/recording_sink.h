#ifndef PRIMROSEWEIR_FILTERS_RECORDING_SINK_H_
#define PRIMROSEWEIR_FILTERS_RECORDING_SINK_H_

#include <cstddef>
#include <memory>

#include "primroseweir/filters/response_sink.h"
#include "primroseweir/keys/stored_response.h"

namespace primroseweir {

// Forwards a response to another sink and keeps a copy of a small one.
class RecordingSink : public ResponseSink {
 public:
  // `next` must outlive the sink. Bodies larger than `max_body_bytes` are not kept.
  RecordingSink(ResponseSink* next, std::size_t max_body_bytes)
      : next_(next), max_body_bytes_(max_body_bytes) {}

  void Begin(const ResponseHead& head) override;
  absl::Status Write(std::string_view piece, Instant deadline) override;
  absl::Status Flush(Instant deadline) override;
  absl::Status End(std::string_view last_piece, Instant deadline) override;
  void Abort() override;

  // Returns the complete response; null when it was aborted or too large. A response counts as
  // complete even if its last bytes could not be delivered to the caller.
  std::shared_ptr<const StoredResponse> RecordedResponse();

 private:
  void Record(std::string_view piece);

  ResponseSink* const next_;
  const std::size_t max_body_bytes_;
  std::shared_ptr<StoredResponse> response_;
  bool is_complete_ = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_RECORDING_SINK_H_
