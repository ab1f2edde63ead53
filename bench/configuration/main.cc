#include <malloc.h>

#include <cstdio>
#include <string>

#include "primroseweir/base/event_log.h"
#include "primroseweir/configuration/configuration_controller.h"
#include "primroseweir/configuration/instances_parser.h"
#include "primroseweir/configuration/text_parser.h"

// Prints the time of parsing and the time and memory of adopting configuration values of several
// sizes, from which the cost per service and per upstream follows.

namespace primroseweir {
namespace {

constexpr int kRepeats = 20;

std::string MakeServicesText(int services) {
  std::string text = "{\"services\":[";
  for (int i = 0; i < services; ++i) {
    text += (i > 0 ? ",\n" : "") + std::string("{\"name\":\"service-") + std::to_string(i) + "\"";
    if (i >= 2 && i % 8 >= 2) {
      text += ",\"depends_on\":[\"service-" + std::to_string(i - 1) + "\"]";
    }
    text += "}";
  }
  return text + "]}";
}

std::string MakeUpstreamList(int upstreams, const std::string& data_centre) {
  std::string text = "{\"upstreams\":[";
  for (int i = 0; i < upstreams; ++i) {
    if (i > 0) text += ",\n";
    text += "{\"id\":\"";
    text += data_centre;
    text += "-" + std::to_string(i);
    text += "\",\"service\":\"service-" + std::to_string(i % 860);
    text += "\",\"data_centre\":\"";
    text += data_centre;
    text += "\",\"address\":\"10.0.0.1:7001\",\"slots\":6,\"connections\":260,";
    text += "\"probe\":\"/probe\",\"probe_cost_ms\":6,\"state\":\"live\"}";
  }
  return text + "]}";
}

// Returns the bytes of heap in use, blocks from mmap included.
std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

template <typename Function>
double MeanMicroseconds(const Function& function) {
  const Instant start = MonotonicNow();
  for (int i = 0; i < kRepeats; ++i) function();
  return static_cast<double>(ToMicroseconds(MonotonicNow() - start)) / kRepeats;
}

void MeasureParseText(int services) {
  const std::string text = MakeServicesText(services);
  bool ok = true;
  const double microseconds = MeanMicroseconds([&] { ok = ParseText(text).ok() && ok; });
  std::printf("step=parse_text services=%d bytes=%zu us=%.0f us_per_service=%.2f ok=%d\n", services,
              text.size(), microseconds, microseconds / services, ok ? 1 : 0);
}

void MeasureParseList(int upstreams) {
  const std::string text = MakeUpstreamList(upstreams, "krems");
  bool ok = true;
  const double microseconds = MeanMicroseconds([&] { ok = ParseInstances(text).ok() && ok; });
  std::printf("step=parse_list upstreams=%d bytes=%zu us=%.0f us_per_upstream=%.2f ok=%d\n",
              upstreams, text.size(), microseconds, microseconds / upstreams, ok ? 1 : 0);
}

// Measures the memory of a configuration of 860 services, the number that the system is designed
// for, and seven parts of `upstreams_per_part` upstreams each, and the time of adopting one changed
// part.
void MeasureAdoptPart(int upstreams_per_part) {
  EventLog events("bench");
  const std::size_t bytes_before = HeapBytes();
  ConfigurationController controller(&events);
  ConfigurationValues values = {
      {"text", {Revision(1), MakeServicesText(860)}},
      {"instances", {Revision(2), R"({"parts":["d0","d1","d2","d3","d4","d5","d6"]})"}}};
  for (int i = 0; i < 7; ++i) {
    const std::string part_name = "d" + std::to_string(i);
    values["instances/" + part_name] = {Revision(3 + i),
                                        MakeUpstreamList(upstreams_per_part, part_name)};
  }
  controller.Offer(values, MonotonicNow());
  values.clear();
  const std::size_t bytes = HeapBytes() - bytes_before;
  const std::string changed_part = MakeUpstreamList(upstreams_per_part, "d3");
  std::uint64_t revision = 100;
  const double microseconds = MeanMicroseconds([&] {
    controller.Offer({{"instances/d3", {Revision(revision++), changed_part}}}, MonotonicNow());
  });
  const std::size_t upstreams = controller.Current()->upstreams.size();
  std::printf("step=adopt_part upstreams=%zu us=%.0f memory_bytes=%zu bytes_per_upstream=%.0f\n",
              upstreams, microseconds, bytes,
              static_cast<double>(bytes) / static_cast<double>(upstreams));
}

}  // namespace
}  // namespace primroseweir

int main() {
  for (const int services : {86, 430, 860, 1'720}) primroseweir::MeasureParseText(services);
  for (const int upstreams : {500, 1'272, 2'500, 5'000}) primroseweir::MeasureParseList(upstreams);
  for (const int upstreams : {127, 636, 1'272}) primroseweir::MeasureAdoptPart(upstreams);
  return 0;
}
