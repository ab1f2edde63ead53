#ifndef STANDINS_UPSTREAM_MODES_H_
#define STANDINS_UPSTREAM_MODES_H_

#include <absl/status/status.h>

#include <cstdint>
#include <string>

namespace primroseweir::standins {

// Behaviour that the test-only port changes while the stand-in runs.
struct UpstreamModes {
  // Says X-Leaving: 1 on each answer.
  bool leaving = false;
  // Refuses each call (503, X-Refused: not-run), as a drained upstream does.
  bool refuse = false;
  // Share of the calls that are refused before they run.
  double shed = 0;
  // Share of the calls that run and then fail with a plain 503.
  double fail = 0;
  // Factor on the service time.
  double straggle = 1;
  // Age of the reported load.
  double report_lag_ms = 0;
  // Downloads are reset after that many bytes of their body, `cut_count` times.
  std::uint64_t cut_at = 0;
  std::uint32_t cut_count = 0;
  // Loses the connection after the call ran, before the answer, that many times.
  std::uint32_t lose_answer_count = 0;
  // Version of the downloads; part of their ETag.
  std::uint64_t version = 1;
};

// Changes the fields named in the JSON object. InvalidArgument for unknown fields and wrong types;
// `modes` is unchanged then.
absl::Status ChangeModes(const std::string& text, UpstreamModes* modes);

}  // namespace primroseweir::standins

#endif  // STANDINS_UPSTREAM_MODES_H_
