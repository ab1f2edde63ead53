#include "upstream/request_handler.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "upstream/byte_range.h"
#include "wire/fetch.h"
#include "wire/generated_content.h"
#include "wire/target.h"

namespace primroseweir::standins {
namespace {

constexpr auto kIdleTimeout = std::chrono::hours(1);
constexpr auto kWriteTimeout = std::chrono::minutes(10);
constexpr auto kNestedCallTimeout = std::chrono::seconds(10);
constexpr std::uint64_t kPieceBytes = 65536;
constexpr int kCrashExitCode = 3;

bool StartsWith(const std::string& text, const char* prefix) { return text.rfind(prefix, 0) == 0; }

}  // namespace

RequestHandler::RequestHandler(Upstream* upstream, std::shared_ptr<Connection> connection)
    : upstream_(upstream),
      connection_(std::move(connection)),
      reader_(&connection_->socket, HttpReader::Kind::kRequests) {}

void RequestHandler::Run() {
  while (true) {
    const auto request = reader_.ReadHead(MonotonicNow() + kIdleTimeout);
    if (connection_->reads_stopped) {
      HoldUnresponsive();
      return;
    }
    if (!request.ok() || !Serve(*request)) return;
  }
}

bool RequestHandler::Serve(const HttpHead& request) {
  const auto body = reader_.ReadBody(MonotonicNow() + kIdleTimeout);
  if (!body.ok()) return false;
  if (PathOf(request.target) == "/probe") return ServeProbe();
  const UpstreamModes modes = upstream_->modes();
  if (modes.refuse || upstream_->DrawBernoulli(modes.shed)) return Refuse();
  switch (upstream_->slots().Acquire(connection_->socket)) {
    case Admission::kRefused:
      return Refuse();
    case Admission::kCancelled:
      return false;
    case Admission::kAdmitted:
      break;
  }
  const bool keep_alive = ServeAdmitted(request, *body);
  upstream_->slots().Release();
  return keep_alive;
}

bool RequestHandler::ServeAdmitted(const HttpHead& request, const std::string& body) {
  const std::string path = PathOf(request.target);
  if (StartsWith(path, "/crash")) {
    upstream_->events().Emit("crashed", {{"target", request.target}});
    _exit(kCrashExitCode);
  }
  if (StartsWith(path, "/book/")) return ServeBooking(request);
  if (!SpendServiceTime(upstream_->DrawServiceTime())) return false;
  if (upstream_->ConsumeLostResponse()) return false;
  if (upstream_->DrawBernoulli(upstream_->modes().fail)) return Respond(503, {}, "failed\n");
  if (StartsWith(path, "/download/")) return ServeDownload(request);
  if (StartsWith(path, "/nested")) return ServeNested(request);
  if (path == "/echo") return Respond(200, {{"Content-Type", "application/octet-stream"}}, body);
  const std::string text = "upstream=" + upstream_->settings().id + " target=" + request.target +
                           " nonce=" + request.Value("X-Nonce") + "\n";
  if (request.method != "HEAD") return Respond(200, {{"Content-Type", "text/plain"}}, text);
  HttpHead head = MakeHead(200, {{"Content-Length", std::to_string(text.size())}});
  return Send(FormatResponse(head)) && reader_.keep_alive();
}

bool RequestHandler::ServeProbe() {
  upstream_->CountProbe();
  if (upstream_->slots().AcquireProbe(connection_->socket) != Admission::kAdmitted) return Refuse();
  const auto cost = std::chrono::duration<double, std::milli>(upstream_->settings().probe_cost_ms);
  const bool is_connected = SpendServiceTime(std::chrono::duration_cast<Duration>(cost));
  upstream_->slots().Release();
  return is_connected && Respond(200, {}, "ready\n");
}

bool RequestHandler::ServeBooking(const HttpHead& request) {
  const std::string booking = PathOf(request.target).substr(sizeof("/book/") - 1);
  const std::uint32_t execution = upstream_->ledger().RecordStart(booking);
  // Once started, a booking is executed to its end, whether or not its caller still waits.
  const Instant end = MonotonicNow() + upstream_->DrawServiceTime();
  while (MonotonicNow() < end) usleep(500);
  upstream_->ledger().RecordFinish(booking);
  if (upstream_->ConsumeLostResponse()) return false;
  if (upstream_->DrawBernoulli(upstream_->modes().fail)) return Respond(503, {}, "failed\n");
  return Respond(200, {{"Content-Type", "text/plain"}},
                 "booking=" + booking + " execution=" + std::to_string(execution) +
                     " upstream=" + upstream_->settings().id + "\n");
}

bool RequestHandler::ServeDownload(const HttpHead& request) {
  const std::string name = PathOf(request.target).substr(sizeof("/download/") - 1);
  const std::uint64_t size = NumberInQuery(request.target, "size");
  const std::string etag = "\"" + std::to_string(upstream_->modes().version) + "\"";
  const auto range = ParseRange(request.Value("Range"), size);
  const std::string condition = request.Value("If-Range");
  const bool is_partial = range.has_value() && (condition.empty() || condition == etag);
  const ByteRange response_range = is_partial ? *range : ByteRange{0, size};
  std::vector<HeaderField> fields{
      {"ETag", etag},
      {"Accept-Ranges", "bytes"},
      {"Content-Type", "application/octet-stream"},
      {"Content-Length", std::to_string(response_range.end - response_range.first)}};
  if (is_partial) fields.push_back({"Content-Range", FormatContentRange(response_range, size)});
  if (!Send(FormatResponse(MakeHead(is_partial ? 206 : 200, std::move(fields))))) return false;
  if (request.method == "HEAD") return reader_.keep_alive();
  const std::uint64_t rate = NumberInQuery(request.target, "rate");
  return SendContent(name, response_range.first, response_range.end, rate) && reader_.keep_alive();
}

bool RequestHandler::SendContent(const std::string& name, std::uint64_t first, std::uint64_t end,
                                 std::uint64_t rate) {
  const UpstreamModes modes = upstream_->modes();
  const bool is_truncated = end - first > modes.cut_at && upstream_->ConsumeCut();
  const std::uint64_t stop = is_truncated ? first + modes.cut_at : end;
  const Instant started = MonotonicNow();
  for (std::uint64_t offset = first; offset < stop;) {
    const std::uint64_t size = std::min(kPieceBytes, stop - offset);
    if (!Send(GenerateContent(name, modes.version, offset, size))) return false;
    offset += size;
    if (rate == 0) continue;
    const auto due = std::chrono::microseconds((offset - first) * 1'000'000 / rate);
    if (connection_->socket.WaitForPeerClose(started + due)) return false;
  }
  if (is_truncated) connection_->socket.Reset();
  return !is_truncated;
}

bool RequestHandler::ServeNested(const HttpHead& request) {
  const auto via = ParseSocketAddress(ValueInQuery(request.target, "via"));
  const std::string chain = ValueInQuery(request.target, "chain");
  if (!via.ok() || chain.empty()) return Respond(200, {}, upstream_->settings().id + "\n");
  const std::size_t slash = chain.find('/');
  const std::string rest = slash == std::string::npos ? "" : chain.substr(slash + 1);
  HttpHead nested;
  nested.method = "GET";
  nested.target =
      "/" + chain.substr(0, slash) + "/nested?via=" + via->ToString() + "&chain=" + rest;
  for (const char* name :
       {"Primroseweir-Depth", "Primroseweir-Deadline-Ms", "Primroseweir-Request-Id"}) {
    const std::string value = request.Value(name);
    if (!value.empty()) nested.fields.push_back({name, value});
  }
  const auto response = Fetch(*via, std::move(nested), "", kNestedCallTimeout);
  if (!response.ok()) return Respond(502, {}, "nested call failed\n");
  return Respond(response->head.status, {}, upstream_->settings().id + " " + response->body);
}

bool RequestHandler::SpendServiceTime(Duration time) {
  if (!connection_->socket.WaitForPeerClose(MonotonicNow() + time)) return true;
  upstream_->slots().CountCancelled();
  return false;
}

bool RequestHandler::Refuse() { return Respond(503, {{"X-Refused", "not-run"}}, "refused\n"); }

HttpHead RequestHandler::MakeHead(int status, std::vector<HeaderField> fields) {
  const UpstreamModes modes = upstream_->modes();
  const auto lag = std::chrono::duration<double, std::milli>(modes.report_lag_ms);
  const std::uint32_t load =
      upstream_->slots().ReportedLoad(std::chrono::duration_cast<Duration>(lag), MonotonicNow());
  fields.push_back({"X-Load", "in_flight=" + std::to_string(load)});
  if (modes.leaving) fields.push_back({"X-Leaving", "1"});
  if (modes.leaving && modes.refuse) fields.push_back({"Connection", "close"});
  HttpHead head;
  head.status = status;
  head.fields = std::move(fields);
  return head;
}

bool RequestHandler::Respond(int status, std::vector<HeaderField> fields, const std::string& body) {
  fields.push_back({"Content-Length", std::to_string(body.size())});
  const HttpHead head = MakeHead(status, std::move(fields));
  const bool keep_alive = reader_.keep_alive() && head.Value("Connection") != "close";
  return Send(FormatResponse(head) + body) && keep_alive;
}

bool RequestHandler::Send(const std::string& data) {
  if (connection_->writes_stopped) return HoldUnresponsive();
  return connection_->socket.WriteAll(data, MonotonicNow() + kWriteTimeout).ok();
}

bool RequestHandler::HoldUnresponsive() {
  connection_->socket.WaitForPeerClose(MonotonicNow() + kIdleTimeout);
  return false;
}

}  // namespace primroseweir::standins
