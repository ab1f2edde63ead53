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
  for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size()) {
    text.replace(at, from.size(), to);
  }
  return text;
}

// Each line of `text` after `mark`.
std::string Marked(const std::string& mark, const std::string& text) {
  std::string marked;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    marked += line.empty() ? mark + "\n" : mark + " " + line + "\n";
  }
  return marked;
}

std::string Printable(const std::string& body) {
  for (const char c : body) {
    if (c != '\n' && (c < ' ' || c > '~')) return std::to_string(body.size()) + " bytes";
  }
  return body;
}

std::string Answered(const absl::StatusOr<standins::HttpHead>& head, const std::string& body) {
  if (!head.ok()) return "no answer";
  std::string text = std::to_string(head->status) + "\n";
  for (const standins::HeaderField& field : head->fields) {
    if (field.name != "Date") text += field.name + ": " + field.value + "\n";
  }
  return text + "\n" + Printable(body);
}

}  // namespace

standins::HttpResponse Session::Exchange(const SocketAddress& to, const std::string& port,
                                         int instance, const std::string& request) {
  const Instant deadline = MonotonicNow() + kExchangeTimeout;
  auto socket = standins::Socket::Connect(to, deadline);
  if (!socket.ok()) throw std::runtime_error("no connection to " + to.ToString());
  (void)socket->WriteAll(ReplaceAll(request, "\n", "\r\n"), deadline);
  standins::HttpReader reader(&*socket, standins::HttpReader::Kind::kResponses);
  const auto head = reader.ReadHead(deadline, request.rfind("HEAD", 0) != 0);
  std::string body;
  if (head.ok()) body = reader.ReadBody(deadline).value_or("(cut)");
  text_ += "-- caller to " + port + " port of instance " + std::to_string(instance + 1) + "\n";
  text_ += Marked(">", request) + Marked("<", Answered(head, body)) + "\n";
  return {head.value_or(standins::HttpHead{}), body};
}

standins::HttpResponse Session::Call(int instance, const std::string& request) {
  return Exchange(site_->CallerAddress(instance), "caller", instance, request);
}

standins::HttpResponse Session::CallAdmin(int instance, const std::string& request) {
  return Exchange(site_->AdminAddress(instance), "admin", instance, request);
}

void Session::Note(const std::string& line) { text_ += "-- " + line + "\n\n"; }

void Session::Name(const std::string& text, const std::string& name) {
  names_.emplace_back(text, name);
}

std::string Session::Normalize(std::string text) const {
  for (const auto& [from, to] : names_) text = ReplaceAll(text, from, to);
  text = ReplaceAll(text, site_->network().prefix(), "127.N.N.");
  text = std::regex_replace(text, std::regex("(Primroseweir-Request-Id: )[^\n]*"), "$1ID");
  // Lengths of answers depend on the network's prefix.
  text = std::regex_replace(text, std::regex("(< Content-Length: )[0-9]+"), "$1N");
  text =
      std::regex_replace(text, std::regex("\"peer\":\"[a-z]+-[0-9]+\""), "\"peer\":\"UPSTREAM\"");
  text = std::regex_replace(text, std::regex("in_flight=[0-9]+"), "in_flight=N");
  text = std::regex_replace(text, std::regex("(Retry-After: )[0-9]+"), "$1N");
  return std::regex_replace(text, std::regex("upstream=[a-z]+-[0-9]+"), "upstream=UPSTREAM");
}

void Session::CheckAgainst(const std::string& name) const {
  const std::string path = "tests/process/golden/" + name + ".txt";
  const std::string text = Normalize(text_);
  if (std::getenv("PRIMROSEWEIR_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << text;
    return;
  }
  std::ifstream file(path);
  const std::string golden{std::istreambuf_iterator<char>(file), {}};
  CHECK(text == golden);
}

}  // namespace primroseweir::testing
