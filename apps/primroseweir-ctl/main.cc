#include <tclap/CmdLine.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include "admin_client.h"
#include "primroseweir/configuration/check_report.h"

namespace {

using primroseweir::AdminResponse;
using primroseweir::NamedText;

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;
constexpr char kTokenVariable[] = "PRIMROSEWEIR_OPERATOR_TOKEN";

struct Arguments {
  std::vector<std::string> words;
  std::string instances;
  std::vector<std::string> admin;
};

int Usage(const std::string& problem) {
  std::cerr << "event=usage error=\"" << problem << "\"\n";
  return kUsage;
}

std::optional<NamedText> ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    std::cerr << "event=read_failed file=\"" << file << "\"\n";
    return std::nullopt;
  }
  return NamedText{file, std::string(std::istreambuf_iterator<char>(in), {})};
}

int Print(const std::vector<std::string>& lines, bool success) {
  for (const std::string& line : lines) std::cout << line << "\n";
  return success ? kDone : kFailed;
}

int Check(const Arguments& arguments) {
  if (arguments.words.size() != 2) return Usage("check FILE [--instances FILE]");
  const auto text = ReadFile(arguments.words[1]);
  if (!text.has_value()) return kUsage;
  std::optional<NamedText> instances;
  if (!arguments.instances.empty()) {
    instances = ReadFile(arguments.instances);
    if (!instances.has_value()) return kUsage;
  }
  const auto report = primroseweir::CheckValues(*text, instances);
  return Print(report.lines, report.accepted);
}

int Diff(const Arguments& arguments) {
  if (arguments.words.size() != 3) return Usage("diff OLD NEW");
  const auto old_text = ReadFile(arguments.words[1]);
  const auto new_text = ReadFile(arguments.words[2]);
  if (!old_text.has_value() || !new_text.has_value()) return kUsage;
  const auto report = primroseweir::DiffTexts(*old_text, *new_text);
  return Print(report.lines, report.accepted);
}

std::vector<AdminResponse> ReadAll(const Arguments& arguments, const std::string& path,
                                   const std::string& query) {
  const char* token = std::getenv(kTokenVariable);
  std::vector<AdminResponse> responses;
  for (const std::string& address : arguments.admin) {
    responses.push_back(
        primroseweir::ctl::ReadAdminPort(address, path, query, token == nullptr ? "" : token));
  }
  return responses;
}

bool AllAnswered(const std::vector<AdminResponse>& responses) {
  for (const AdminResponse& response : responses) {
    if (!response.error.empty()) return false;
  }
  return true;
}

int Status(const Arguments& arguments) {
  if (arguments.admin.empty()) return Usage("status needs --admin or --instances-file");
  const auto responses = ReadAll(arguments, "/status", "");
  return Print(primroseweir::StatusLines(responses), AllAnswered(responses));
}

int Explain(const Arguments& arguments) {
  if (arguments.words.size() != 2 || arguments.admin.empty()) {
    return Usage("explain SERVICE with --admin or --instances-file");
  }
  const auto responses = ReadAll(arguments, "/explain", "service=" + arguments.words[1]);
  std::vector<std::string> lines;
  for (const AdminResponse& response : responses) {
    for (std::string& line : primroseweir::ExplainLines(response)) lines.push_back(std::move(line));
  }
  return Print(lines, AllAnswered(responses));
}

int Timeline(const Arguments& arguments) {
  if (arguments.admin.empty()) return Usage("timeline needs --admin or --instances-file");
  const auto responses = ReadAll(arguments, "/events", "after=0");
  return Print(primroseweir::TimelineLines(responses), AllAnswered(responses));
}

// A command and the function that carries it out.
struct Command {
  const char* name;
  int (*run)(const Arguments& arguments);
};

constexpr Command kCommands[] = {{"check", Check},
                                 {"diff", Diff},
                                 {"status", Status},
                                 {"explain", Explain},
                                 {"timeline", Timeline}};

int Run(Arguments arguments, const std::string& instances_file) {
  if (!instances_file.empty()) {
    const auto file = ReadFile(instances_file);
    if (!file.has_value()) return kUsage;
    std::ifstream lines(instances_file);
    for (std::string line; std::getline(lines, line);) {
      if (!line.empty() && line[0] != '#') arguments.admin.push_back(line);
    }
  }
  for (const Command& command : kCommands) {
    if (arguments.words[0] == command.name) return command.run(arguments);
  }
  return Usage("unknown command");
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line(
        "Operators' command. check FILE | diff OLD NEW | status | explain SERVICE | timeline. The "
        "last three read the admin ports with the token in PRIMROSEWEIR_OPERATOR_TOKEN. Exit "
        "codes: 0 done, 1 rejected or not all instances answered, 2 usage.",
        ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> instances("", "instances", "value of the key instances for check",
                                           false, "", "FILE", line);
    TCLAP::ValueArg<std::string> instances_file("", "instances-file", "admin addresses, one a line",
                                                false, "", "FILE", line);
    TCLAP::MultiArg<std::string> admin("", "admin", "admin address", false, "IP:PORT", line);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "command and its arguments", true,
                                                "COMMAND", line);
    line.parse(argc, argv);
    return Run({words.getValue(), instances.getValue(), admin.getValue()},
               instances_file.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    return Usage(error.error() + " " + error.argId());
  }
}
