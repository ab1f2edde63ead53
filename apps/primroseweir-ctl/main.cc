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

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr char kTokenEnvironmentVariable[] = "PRIMROSEWEIR_OPERATOR_TOKEN";

struct Arguments {
  // The command and its arguments.
  std::vector<std::string> positional;
  std::string instances_path;
  std::vector<std::string> admin_addresses;
};

int UsageError(const std::string& problem) {
  std::cerr << "event=usage error=\"" << problem << "\"\n";
  return kExitUsage;
}

std::optional<NamedText> ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    std::cerr << "event=read_failed file=\"" << file << "\"\n";
    return std::nullopt;
  }
  return NamedText{file, std::string(std::istreambuf_iterator<char>(in), {})};
}

int PrintLines(const std::vector<std::string>& lines, bool is_success) {
  for (const std::string& line : lines) std::cout << line << "\n";
  return is_success ? kExitSuccess : kExitFailure;
}

int Check(const Arguments& args) {
  if (args.positional.size() != 2) return UsageError("check FILE [--instances FILE]");
  const auto text = ReadFile(args.positional[1]);
  if (!text.has_value()) return kExitUsage;
  std::optional<NamedText> instances;
  if (!args.instances_path.empty()) {
    instances = ReadFile(args.instances_path);
    if (!instances.has_value()) return kExitUsage;
  }
  const auto report = primroseweir::CheckValues(*text, instances);
  return PrintLines(report.lines, report.accepted);
}

int Diff(const Arguments& args) {
  if (args.positional.size() != 3) return UsageError("diff OLD NEW");
  const auto old_text = ReadFile(args.positional[1]);
  const auto new_text = ReadFile(args.positional[2]);
  if (!old_text.has_value() || !new_text.has_value()) return kExitUsage;
  const auto report = primroseweir::DiffTexts(*old_text, *new_text);
  return PrintLines(report.lines, report.accepted);
}

std::vector<AdminResponse> ReadAllAdminPorts(const Arguments& args, const std::string& path,
                                             const std::string& query) {
  const char* token = std::getenv(kTokenEnvironmentVariable);
  std::vector<AdminResponse> responses;
  for (const std::string& address : args.admin_addresses) {
    responses.push_back(
        primroseweir::ctl::ReadAdminPort(address, path, query, token == nullptr ? "" : token));
  }
  return responses;
}

bool AllResponded(const std::vector<AdminResponse>& responses) {
  for (const AdminResponse& response : responses) {
    if (!response.error.empty()) return false;
  }
  return true;
}

int Status(const Arguments& args) {
  if (args.admin_addresses.empty()) return UsageError("status needs --admin or --instances-file");
  const auto responses = ReadAllAdminPorts(args, "/status", "");
  return PrintLines(primroseweir::StatusLines(responses), AllResponded(responses));
}

int Explain(const Arguments& args) {
  if (args.positional.size() != 2 || args.admin_addresses.empty()) {
    return UsageError("explain SERVICE with --admin or --instances-file");
  }
  const auto responses = ReadAllAdminPorts(args, "/explain", "service=" + args.positional[1]);
  std::vector<std::string> lines;
  for (const AdminResponse& response : responses) {
    for (std::string& line : primroseweir::ExplainLines(response)) lines.push_back(std::move(line));
  }
  return PrintLines(lines, AllResponded(responses));
}

int Timeline(const Arguments& args) {
  if (args.admin_addresses.empty()) return UsageError("timeline needs --admin or --instances-file");
  const auto responses = ReadAllAdminPorts(args, "/events", "after=0");
  return PrintLines(primroseweir::TimelineLines(responses), AllResponded(responses));
}

// A command of the command line and its function, which returns the exit code.
struct Command {
  const char* name;
  int (*run)(const Arguments& args);
};

constexpr Command kCommands[] = {{"check", Check},
                                 {"diff", Diff},
                                 {"status", Status},
                                 {"explain", Explain},
                                 {"timeline", Timeline}};

int Run(Arguments args, const std::string& instances_file) {
  if (!instances_file.empty()) {
    const auto file = ReadFile(instances_file);
    if (!file.has_value()) return kExitUsage;
    std::ifstream lines(instances_file);
    for (std::string line; std::getline(lines, line);) {
      if (!line.empty() && line[0] != '#') args.admin_addresses.push_back(line);
    }
  }
  for (const Command& command : kCommands) {
    if (args.positional[0] == command.name) return command.run(args);
  }
  return UsageError("unknown command");
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line(
        "Operators' command. check FILE | diff OLD NEW | status | explain SERVICE | timeline. The "
        "last three read the admin ports with the token in PRIMROSEWEIR_OPERATOR_TOKEN. Exit "
        "codes: 0 done, 1 rejected or an instance did not respond, 2 usage.",
        ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> instances("", "instances", "value of the key instances for check",
                                           false, "", "FILE", line);
    TCLAP::ValueArg<std::string> instances_file("", "instances-file", "admin addresses, one a line",
                                                false, "", "FILE", line);
    TCLAP::MultiArg<std::string> admin_addresses("", "admin", "admin address", false, "IP:PORT",
                                                 line);
    TCLAP::UnlabeledMultiArg<std::string> positional("command", "command and its arguments", true,
                                                     "COMMAND", line);
    line.parse(argc, argv);
    return Run({positional.getValue(), instances.getValue(), admin_addresses.getValue()},
               instances_file.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    return UsageError(error.error() + " " + error.argId());
  }
}
