#include <malloc.h>

#include <cstdio>
#include <string>

#include "primroseweir/base/event_log.h"
#include "primroseweir/configuration/configuration_controller.h"
#include "primroseweir/configuration/instances_parser.h"
#include "primroseweir/configuration/text_parser.h"

// Prints the time and memory of parsing and adopting, to read slopes per service and per upstream.

namespace primroseweir {
namespace {

constexpr int kRounds = 20;

std::string Text(int services) {
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

std::string List(int upstreams, const std::string& data_centre) {
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

// Bytes in use on the heap, mapped blocks included.
std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

template <typename Function>
double MicrosecondsOf(const Function& function) {
  const Instant start = MonotonicNow();
  for (int i = 0; i < kRounds; ++i) function();
  return static_cast<double>(ToMicroseconds(MonotonicNow() - start)) / kRounds;
}

void MeasureText(int services) {
  const std::string text = Text(services);
  bool ok = true;
  const double micros = MicrosecondsOf([&] { ok = ParseText(text).ok() && ok; });
  std::printf("step=parse_text services=%d bytes=%zu us=%.0f us_per_service=%.2f ok=%d\n", services,
              text.size(), micros, micros / services, ok ? 1 : 0);
}

void MeasureList(int upstreams) {
  const std::string text = List(upstreams, "krems");
  bool ok = true;
  const double micros = MicrosecondsOf([&] { ok = ParseInstances(text).ok() && ok; });
  std::printf("step=parse_list upstreams=%d bytes=%zu us=%.0f us_per_upstream=%.2f ok=%d\n",
              upstreams, text.size(), micros, micros / upstreams, ok ? 1 : 0);
}

// The whole size of the design: 860 services, seven parts of `part` upstreams each.
void MeasureAdopt(int part) {
  EventLog events("bench");
  const std::size_t before = HeapBytes();
  ConfigurationController controller(&events);
  ConfigurationValues values = {
      {"text", {Revision(1), Text(860)}},
      {"instances", {Revision(2), R"({"parts":["d0","d1","d2","d3","d4","d5","d6"]})"}}};
  for (int i = 0; i < 7; ++i) {
    const std::string name = "d" + std::to_string(i);
    values["instances/" + name] = {Revision(3 + i), List(part, name)};
  }
  controller.Offer(values, MonotonicNow());
  values.clear();
  const std::size_t bytes = HeapBytes() - before;
  const std::string changed = List(part, "d3");
  std::uint64_t revision = 100;
  const double micros = MicrosecondsOf([&] {
    controller.Offer({{"instances/d3", {Revision(revision++), changed}}}, MonotonicNow());
  });
  const std::size_t upstreams = controller.Current()->upstreams.size();
  std::printf("step=adopt_part upstreams=%zu us=%.0f memory_bytes=%zu bytes_per_upstream=%.0f\n",
              upstreams, micros, bytes,
              static_cast<double>(bytes) / static_cast<double>(upstreams));
}

}  // namespace
}  // namespace primroseweir

int main() {
  for (const int services : {86, 430, 860, 1'720}) primroseweir::MeasureText(services);
  for (const int upstreams : {500, 1'272, 2'500, 5'000}) primroseweir::MeasureList(upstreams);
  for (const int part : {127, 636, 1'272}) primroseweir::MeasureAdopt(part);
  return 0;
}
