#ifndef PRIMROSEWEIR_TESTS_BALANCE_BALANCE_FIXTURE_H_
#define PRIMROSEWEIR_TESTS_BALANCE_BALANCE_FIXTURE_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/balance/upstream_book.h"
#include "primroseweir/routes/route_table.h"

namespace primroseweir {

// A book with upstreams of the service "s" in the data centres "here" and "there".
struct BalanceFixture {
  static constexpr double kColdRate = 4;
  static constexpr double kColdFactor = 1.5;
  static constexpr double kColdExtra = 5;

  static UpstreamBook::Options OptionsOf(std::uint64_t seed) {
    UpstreamBook::Options options;
    options.data_centre = DataCentre("here");
    options.seed = seed;
    options.cold_factor = kColdFactor;
    options.cold_extra = kColdExtra;
    return options;
  }

  static RouteTable Terms() {
    ServiceTerms terms;
    terms.probe = "/health";
    terms.cold_rate = kColdRate;
    return RouteTable(1, {}, {{ServiceName("s"), terms}}, CallerLimits());
  }

  explicit BalanceFixture(std::uint64_t seed = 1) : terms(Terms()), book(OptionsOf(seed)) {}

  UpstreamRecord& Add(const std::string& id, const std::string& data_centre = "here") {
    UpstreamRecord record;
    record.id = UpstreamId(id);
    record.service = ServiceName("s");
    record.data_centre = DataCentre(data_centre);
    record.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + list.size())};
    record.slots = 4;
    list.push_back(record);
    return list.back();
  }

  void Apply() { book.Apply(list, out, terms, now); }

  UpstreamBook::Choice Choose(CallKind kind = CallKind::kRepeatable) {
    UpstreamBook::Query query;
    query.service = ServiceName("s");
    query.kind = kind;
    return book.Choose(query, now);
  }

  // The chosen upstream's id, "" for none.
  std::string ChooseId(CallKind kind = CallKind::kRepeatable) {
    const auto choice = Choose(kind);
    return choice.upstream == nullptr ? "" : choice.upstream->record().id.value();
  }

  BalancedUpstream& At(const std::string& id) { return *book.Find(UpstreamId(id)); }

  void Report(const std::string& id, std::uint32_t running, double slowdown) {
    UpstreamLoad load;
    load.running = running;
    load.slots = 4;
    load.slowdown = slowdown;
    At(id).NoteProbeAnswered();
    At(id).NoteReport(load, BalancedUpstream::ReportSource::kProbe, now);
  }

  RouteTable terms;
  UpstreamBook book;
  std::vector<UpstreamRecord> list;
  std::set<DataCentre> out;
  Instant now = Instant(std::chrono::hours(1));
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_TESTS_BALANCE_BALANCE_FIXTURE_H_
