#include "support/session.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>
#include <stdexcept>

#include "wire/http_reader.h"
#include "wire/socket.h"

namespace primroseweir::testing {
namespace {

constexpr auto kExchangeTimeout = std::chrono::seconds(10);

std::string ReplaceAll(std::string text, const std::string& from, const std::string& to) {
  for (std::size_t position = 0; (position = text.find(from, position)) != std::string::npos;
       position += to.size()) {
    text.replace(position, from.size(), to);
  }
  return text;
}

// Returns `text` with `prefix` and a blank before each line; empty lines get `prefix` only.
std::string PrefixLines(const std::string& prefix, const std::string& text) {
  std::string prefixed;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    prefixed += line.empty() ? prefix + "\n" : prefix + " " + line + "\n";
  }
  return prefixed;
}

std::string PrintableBody(const std::string& body) {
  for (const char c : body) {
    if (c != '\n' && (c < ' ' || c > '~')) return std::to_string(body.size()) + " bytes";
  }
  return body;
}

std::string DescribeResponse(const absl::StatusOr<standins::HttpHead>& head,
                             const std::string& body) {
  if (!head.ok()) return "no response";
  std::string text = std::to_string(head->status) + "\n";
  for (const standins::HeaderField& field : head->fields) {
    if (field.name != "Date") text += field.name + ": " + field.value + "\n";
  }
  return text + "\n" + PrintableBody(body);
}

}  // namespace

standins::HttpResponse Session::Exchange(const SocketAddress& address, const std::string& port,
                                         int instance, const std::string& request) {
  const Instant deadline = MonotonicNow() + kExchangeTimeout;
  auto socket = standins::Socket::Connect(address, deadline);
  if (!socket.ok()) throw std::runtime_error("can't connect to " + address.ToString());
  (void)socket->WriteAll(ReplaceAll(request, "\n", "\r\n"), deadline);
  standins::HttpReader reader(&*socket, standins::HttpReader::Kind::kResponses);
  const auto head = reader.ReadHead(deadline, request.rfind("HEAD", 0) != 0);
  std::string body;
  if (head.ok()) body = reader.ReadBody(deadline).value_or("(truncated)");
  recording_ += "-- caller to " + port + " port of instance " + std::to_string(instance + 1) + "\n";
  recording_ += PrefixLines(">", request) + PrefixLines("<", DescribeResponse(head, body)) + "\n";
  return {head.value_or(standins::HttpHead{}), body};
}

standins::HttpResponse Session::Call(int instance, const std::string& request) {
  return Exchange(site_->CallerAddress(instance), "caller", instance, request);
}

standins::HttpResponse Session::CallAdmin(int instance, const std::string& request) {
  return Exchange(site_->AdminAddress(instance), "admin", instance, request);
}

void Session::AddNote(const std::string& line) { recording_ += "-- " + line + "\n\n"; }

void Session::AddReplacement(const std::string& text, const std::string& placeholder) {
  replacements_.emplace_back(text, placeholder);
}

std::string Session::Normalize(std::string text) const {
  for (const auto& [from, placeholder] : replacements_) text = ReplaceAll(text, from, placeholder);
  text = ReplaceAll(text, site_->network().prefix(), "127.N.N.");
  text = std::regex_replace(text, std::regex("(Primroseweir-Request-Id: )[^\n]*"), "$1ID");
  // Response lengths depend on the length of the network's prefix.
  text = std::regex_replace(text, std::regex("(< Content-Length: )[0-9]+"), "$1N");
  text =
      std::regex_replace(text, std::regex("\"peer\":\"[a-z]+-[0-9]+\""), "\"peer\":\"UPSTREAM\"");
  text = std::regex_replace(text, std::regex("in_flight=[0-9]+"), "in_flight=N");
  text = std::regex_replace(text, std::regex("(Retry-After: )[0-9]+"), "$1N");
  return std::regex_replace(text, std::regex("upstream=[a-z]+-[0-9]+"), "upstream=UPSTREAM");
}

void Session::CheckAgainstGolden(const std::string& name) const {
  const std::string path = "tests/process/golden/" + name + ".txt";
  const std::string text = Normalize(recording_);
  if (std::getenv("PRIMROSEWEIR_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << text;
    return;
  }
  std::ifstream file(path);
  const std::string golden{std::istreambuf_iterator<char>(file), {}};
  CHECK(text == golden);
}

}  // namespace primroseweir::testing
