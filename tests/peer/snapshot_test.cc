#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>

#include <catch2/catch.hpp>

#include "primroseweir/base/error.h"
#include "primroseweir/base/random.h"
#include "primroseweir/peer/snapshot_client.h"
#include "primroseweir/peer/snapshot_codec.h"
#include "primroseweir/peer/snapshot_server.h"
#include "primroseweir/peer/udp_transport.h"
#include "support/loopback.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;

const MessageSigner& Signer() {
  static const MessageSigner signer("fleet key of the tests");
  return signer;
}

ConfigurationValues SampleValues() {
  ConfigurationValues values;
  values["text"] = {Revision(5), "{\"services\": [\"\xc3\xa4 \\\" \n\"]}"};
  values["declarations"] = {Revision(1ULL << 40), "{\"out\":[]}"};
  return values;
}

std::vector<UpstreamObservation> SampleObservations(int count) {
  std::vector<UpstreamObservation> observations;
  for (int i = 0; i < count; ++i) {
    UpstreamObservation observation;
    observation.id = UpstreamId("up-" + std::to_string(i));
    observation.epoch = Epoch(static_cast<std::uint64_t>(i));
    observation.window = 3;
    if (i % 2 == 0) observation.report = LoadReport{1, milliseconds(2), milliseconds(3)};
    observations.push_back(observation);
  }
  return observations;
}

SnapshotServer::Providers SampleProviders() {
  SnapshotServer::Providers providers;
  providers.configuration = [](Revision after) {
    ConfigurationValues values = SampleValues();
    for (auto value = values.begin(); value != values.end();) {
      value = value->second.revision > after ? std::next(value) : values.erase(value);
    }
    return values;
  };
  providers.observations = [] { return SampleObservations(9'000); };
  return providers;
}

// Runs a server on a free port of a random loopback address.
struct RunningServer {
  RunningServer() : server(SampleProviders(), &Signer()) {
    for (int attempt = 0; attempt < 20; ++attempt) {
      auto transport = UdpTransport::Bind(RandomLoopback());
      REQUIRE(transport.ok());
      address = (*transport)->local_address();
      if (server.Start(address).ok()) return;
    }
    FAIL("no port is free on both UDP and TCP");
  }
  SnapshotServer server;
  SocketAddress address;
};

// Guards against values, or revisions above 32 bits, that change during the transfer.
TEST_CASE("the client receives the snapshot unchanged") {
  const RunningServer running_server;
  const SnapshotClient client(&Signer(), milliseconds(2'000));
  const auto values = client.FetchConfiguration(running_server.address, Revision(0));
  INFO(values.status());
  REQUIRE(values.ok());
  REQUIRE(values->size() == 2);
  CHECK(values->at("text").text == SampleValues()["text"].text);
  CHECK(values->at("declarations").revision == Revision(1ULL << 40));
  const auto newer = client.FetchConfiguration(running_server.address, Revision(5));
  REQUIRE(newer.ok());
  CHECK(newer->size() == 1);
  const auto observations = client.FetchObservations(running_server.address);
  INFO(observations.status());
  REQUIRE(observations.ok());
  REQUIRE(observations->size() == 9'000);
  CHECK(observations->back().epoch == Epoch(8'999));
  CHECK(observations->front().report->latency == milliseconds(2));
}

// Guards against a size limit that rejects the largest values of the platform.
TEST_CASE("values of 1 MB are encoded and decoded unchanged") {
  ConfigurationValues values;
  values["instances"] = {Revision(3), std::string(1'000'000, '"')};
  const std::string text = EncodeConfigurationValues(values);
  const auto decoded = DecodeConfigurationValues(text, "");
  REQUIRE(decoded.ok());
  CHECK(decoded->at("instances").text == values["instances"].text);
}

// Guards against processes that read or write the configuration without having the fleet key.
TEST_CASE("a request signed with another key is rejected") {
  const RunningServer running_server;
  const MessageSigner other_signer("another key");
  const SnapshotClient client(&other_signer, milliseconds(2'000));
  const auto values = client.FetchConfiguration(running_server.address, Revision(0));
  REQUIRE(!values.ok());
  CHECK(values.status().code() == absl::StatusCode::kUnavailable);
  CHECK(OriginOf(values.status()).peer == running_server.address.ToString());
  CHECK(OriginOf(values.status()).step == "call configuration");
}

TEST_CASE("a request without a signature is rejected with HTTP status 403") {
  const RunningServer running_server;
  cxxtools::http::Client client(running_server.address.ip, running_server.address.port);
  cxxtools::http::Request request("/");
  request.method("POST");
  request.body() << R"({"jsonrpc":"2.0","id":1,"method":"observations","params":{}})";
  CHECK(client.execute(request, cxxtools::Milliseconds(2'000)).httpReturnCode() == 403);
}

// Guards against a server that is reachable on addresses other than the configured one.
TEST_CASE("the server listens on its configured IP address only") {
  const RunningServer running_server;
  const SnapshotClient client(&Signer(), milliseconds(500));
  const SocketAddress other_address{"127.0.0.1", running_server.address.port};
  CHECK(!client.FetchConfiguration(other_address, Revision(0)).ok());
}

TEST_CASE("the error for an unreachable peer carries step and peer") {
  const SnapshotClient client(&Signer(), milliseconds(200));
  const auto observations = client.FetchObservations({"127.0.0.1", 1});
  REQUIRE(!observations.ok());
  CHECK(OriginOf(observations.status()).step == "call observations");
  CHECK(OriginOf(observations.status()).peer == "127.0.0.1:1");
}

// ---- hostile input ----

void CheckDecodesOrFails(const std::string& text) {
  const auto values = DecodeConfigurationValues(text, "p");
  if (!values.ok()) CHECK(OriginOf(values.status()).step == "decode snapshot");
  const auto observations = DecodeObservations(text, "p");
  if (!observations.ok()) CHECK(OriginOf(observations.status()).step == "decode snapshot");
}

TEST_CASE("the snapshot decoders do not crash on corrupted, truncated and random texts") {
  Random random(99);
  const std::string samples[] = {EncodeConfigurationValues(SampleValues()),
                                 EncodeObservations(SampleObservations(5))};
  for (const std::string& sample : samples) {
    for (std::size_t length = 0; length < sample.size(); ++length) {
      CheckDecodesOrFails(sample.substr(0, length));
    }
    for (int i = 0; i < 10'000; ++i) {
      std::string text = sample;
      const std::uint64_t bit = random.UniformBelow(text.size() * 8);
      text[bit / 8] = static_cast<char>(text[bit / 8] ^ (1 << (bit % 8)));
      CheckDecodesOrFails(text);
    }
  }
  for (int i = 0; i < 2'000; ++i) {
    std::string text(random.UniformBelow(400), '\0');
    for (char& c : text) c = static_cast<char>(random.UniformBelow(256));
    CheckDecodesOrFails(text);
  }
}

TEST_CASE("the snapshot decoders do not crash on deep nesting") {
  CheckDecodesOrFails(std::string(1'000'000, '['));
  CheckDecodesOrFails("{\"observations\":" + std::string(100'000, '[') + std::string(100'000, ']') +
                      "}");
}

TEST_CASE("the snapshot decoders reject JSON of the wrong structure") {
  for (const char* text : {R"({})", R"([])", R"({"values":[]})", R"({"values":{"a":[1]}})",
                           R"({"values":{"a":[-1,"x"]}})", R"({"values":{"":[1,"x"]}})",
                           R"({"values":{},"more":1})"}) {
    INFO(text);
    CHECK(!DecodeConfigurationValues(text, "").ok());
  }
  for (const char* text :
       {R"({"observations":{}})", R"({"observations":[1]})",
        R"({"observations":[["a",1,0,false]]})", R"({"observations":[["a",1,1,false,1]]})"}) {
    INFO(text);
    CHECK(!DecodeObservations(text, "").ok());
  }
}

}  // namespace
}  // namespace primroseweir
