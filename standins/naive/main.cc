// Naive entry instance, see naive_entry.h. Reads the settings file of the real entry instance.
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "naive/naive_entry.h"
#include "primroseweir/base/error.h"

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

primroseweir::standins::NaiveSettings ReadSettings(const char* path) {
  std::ifstream file(path);
  const nlohmann::json object = nlohmann::json::parse(file);
  const auto address = [](const nlohmann::json& text) {
    return primroseweir::ParseSocketAddress(text.get<std::string>()).value();
  };
  primroseweir::standins::NaiveSettings settings;
  settings.caller_address = address(object.at("caller_address"));
  settings.configuration_service = address(object.at("configuration_service").at(0));
  for (const auto& peer : object.at("peers")) settings.peers.push_back(address(peer));
  return settings;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3 || std::string(argv[1]) != "--settings") {
    std::cerr << "usage: standin-naive-entry --settings FILE\n";
    return kExitUsage;
  }
  try {
    primroseweir::standins::NaiveEntry entry(ReadSettings(argv[2]));
    std::cerr << entry.Run() << "\n";
  } catch (const std::exception& error) {
    std::cerr << "step=\"read settings\" error=\"" << error.what() << "\"\n";
    return kExitUsage;
  }
  return kExitFailure;
}
