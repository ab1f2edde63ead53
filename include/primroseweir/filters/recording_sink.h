#ifndef PRIMROSEWEIR_FILTERS_RECORDING_SINK_H_
#define PRIMROSEWEIR_FILTERS_RECORDING_SINK_H_

#include <cstddef>
#include <memory>

#include "primroseweir/filters/response_sink.h"
#include "primroseweir/keys/stored_response.h"

namespace primroseweir {

// Passes an answer on and keeps a copy of it while it is small.
class RecordingSink : public ResponseSink {
 public:
  // `next` outlives the sink. Bodies above `limit` bytes are not kept.
  RecordingSink(ResponseSink* next, std::size_t limit) : next_(next), limit_(limit) {}

  void Begin(const ResponseHead& head) override;
  absl::Status Write(std::string_view piece, Instant deadline) override;
  absl::Status Flush(Instant deadline) override;
  absl::Status End(std::string_view last_piece, Instant deadline) override;
  void Abort() override;

  // The whole answer; null when it was cut or too large. A caller that went away before its last
  // bytes does not matter.
  std::shared_ptr<const StoredResponse> Take();

 private:
  void Record(std::string_view piece);

  ResponseSink* const next_;
  const std::size_t limit_;
  std::shared_ptr<StoredResponse> response_;
  bool is_complete_ = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_RECORDING_SINK_H_
