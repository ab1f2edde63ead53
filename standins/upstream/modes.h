#ifndef STANDINS_UPSTREAM_MODES_H_
#define STANDINS_UPSTREAM_MODES_H_

#include <absl/status/status.h>

#include <cstdint>
#include <string>

namespace primroseweir::standins {

// Behaviour of the stand-in that tests change through the control port while it runs.
struct UpstreamModes {
  // Sends X-Leaving: 1 with each response.
  bool leaving = false;
  // Refuses each call with status 503 and X-Refused: not-run, as a drained upstream does.
  bool refuse = false;
  // Fraction of the calls, 0 to 1, that are refused before execution.
  double shed = 0;
  // Fraction of the calls, 0 to 1, that are executed and then fail with status 503 without
  // X-Refused.
  double fail = 0;
  // Factor by which service times are multiplied.
  double straggle = 1;
  // Maximum age of the reported load, in milliseconds.
  double report_lag_ms = 0;
  // The connections of the next `cut_count` downloads whose body is longer than `cut_at` bytes are
  // reset after that many bytes.
  std::uint64_t cut_at = 0;
  std::uint32_t cut_count = 0;
  // Number of calls whose connection is closed after their execution, before the response.
  std::uint32_t lose_answer_count = 0;
  // Version of the downloads, which their ETag states.
  std::uint64_t version = 1;
};

// Sets the fields that the JSON object names. Errors: InvalidArgument, `text` is not an object, or
// a field is unknown or has a wrong type; `modes` is then unchanged.
absl::Status ChangeModes(const std::string& text, UpstreamModes* modes);

}  // namespace primroseweir::standins

#endif  // STANDINS_UPSTREAM_MODES_H_
