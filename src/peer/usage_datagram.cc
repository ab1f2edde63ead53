#include "primroseweir/peer/usage_datagram.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <vector>

#include "primroseweir/base/error.h"
#include "primroseweir/peer/datagram_packer.h"
#include "primroseweir/peer/detail/field_reader.h"
#include "primroseweir/peer/message_signer.h"

namespace primroseweir {
namespace {

using nlohmann::json;

// Differs from kGossipVersion, by which receivers tell the kinds apart.
constexpr std::uint64_t kUsageVersion = 2;
// Signatures of one kind are not valid for the other.
constexpr char kUsagePurpose[] = "usage";
constexpr std::size_t kFields = 6;
// MessagePack type fixarray with the number of fields.
constexpr unsigned char kFirstByte = 0x90 | kFields;
// Bytes of one customer: hash, admitted calls and recently admitted calls.
constexpr std::size_t kCustomerBytes = 10;
// Customers and addresses in a datagram of DatagramPacker::kMaxDatagramBytes: up to 1,000 bytes and
// 60 bytes beside the largest header of about 100 bytes and the signature.
constexpr std::size_t kMaxCustomers = 100;
constexpr std::size_t kMaxActivePeers = 12;
constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();

absl::Status DecodeError(absl::StatusCode code, const std::string& peer,
                         const std::string& message) {
  return MakeError(code, {"decode datagram", peer}, message);
}

void AppendNumber(std::uint32_t number, std::size_t bytes, std::vector<std::uint8_t>* out) {
  for (std::size_t i = 0; i < bytes; ++i) {
    out->push_back(static_cast<std::uint8_t>(number >> (8 * i)));
  }
}

std::uint32_t NumberAt(const std::vector<std::uint8_t>& bytes, std::size_t start,
                       std::size_t count) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < count; ++i) {
    number |= static_cast<std::uint32_t>(bytes[start + i]) << (8 * i);
  }
  return number;
}

std::vector<std::uint8_t> PackCustomers(std::vector<CustomerUsage> customers) {
  std::stable_sort(customers.begin(), customers.end(), [](const auto& a, const auto& b) {
    return a.recently_admitted > b.recently_admitted;
  });
  customers.resize(std::min(customers.size(), kMaxCustomers));
  std::vector<std::uint8_t> bytes;
  bytes.reserve(customers.size() * kCustomerBytes);
  for (const auto& customer : customers) {
    AppendNumber(customer.customer, 4, &bytes);
    AppendNumber(customer.admitted, 4, &bytes);
    AppendNumber(customer.recently_admitted, 2, &bytes);
  }
  return bytes;
}

void ReadCustomers(const json& value, UsageReport* usage, std::string* error) {
  if (!error->empty()) return;
  if (!value.is_binary() || value.get_binary().size() % kCustomerBytes != 0) {
    *error = "customers are not a byte string of whole entries";
    return;
  }
  const std::vector<std::uint8_t>& bytes = value.get_binary();
  for (std::size_t start = 0; start < bytes.size(); start += kCustomerBytes) {
    usage->customers.push_back({NumberAt(bytes, start, 4), NumberAt(bytes, start + 4, 4),
                                static_cast<std::uint16_t>(NumberAt(bytes, start + 8, 2))});
  }
}

void ReadActivePeers(const json& values, UsageReport* usage, std::string* error) {
  detail::FieldReader reader(values, "active peers", error);
  for (std::size_t i = 0; i < values.size() && error->empty(); ++i) {
    usage->active_peers.push_back(
        static_cast<std::uint32_t>(reader.ReadUnsigned("peer", 0, kMaxUint32)));
  }
}

}  // namespace

std::string EncodeUsage(const UsageDatagram& datagram, const MessageSigner& signer) {
  const UsageReport& usage = datagram.usage;
  std::vector<std::uint32_t> peers = usage.active_peers;
  peers.resize(std::min(peers.size(), kMaxActivePeers));
  const json content =
      json::array({kUsageVersion, datagram.sender.value(), datagram.incarnation.value(),
                   usage.is_active, json::binary(PackCustomers(usage.customers)), peers});
  std::string bytes;
  json::to_msgpack(content, bytes);
  return bytes + signer.Sign(kUsagePurpose, bytes);
}

bool IsUsageDatagram(const std::string& datagram) {
  return datagram.size() > 1 && static_cast<unsigned char>(datagram[0]) == kFirstByte &&
         static_cast<unsigned char>(datagram[1]) == kUsageVersion;
}

absl::StatusOr<UsageDatagram> DecodeUsage(const std::string& datagram, const std::string& peer,
                                          const MessageSigner& signer) {
  constexpr std::size_t kSignatureSize = MessageSigner::kSignatureBytes;
  if (datagram.size() <= kSignatureSize || datagram.size() > DatagramPacker::kMaxDatagramBytes) {
    return DecodeError(absl::StatusCode::kInvalidArgument, peer,
                       "datagram is too short for a signature or above the size limit");
  }
  const std::string content = datagram.substr(0, datagram.size() - kSignatureSize);
  if (!signer.Verify(kUsagePurpose, content, datagram.substr(content.size()))) {
    return DecodeError(absl::StatusCode::kPermissionDenied, peer, "signature is invalid");
  }
  const json value = json::from_msgpack(content, true, false);
  if (value.is_discarded()) {
    return DecodeError(absl::StatusCode::kInvalidArgument, peer,
                       "content is not valid MessagePack");
  }
  std::string error;
  UsageDatagram result;
  detail::FieldReader reader(value, "usage", &error);
  reader.ExpectSize(kFields);
  reader.ReadUnsigned("version", kUsageVersion, kUsageVersion);
  result.sender = InstanceId(reader.ReadId("sender"));
  result.incarnation = Incarnation(reader.ReadUnsigned("incarnation", 1, kMaxUint64));
  result.usage.is_active = reader.ReadBoolean("active");
  ReadCustomers(reader.ReadAny("customers"), &result.usage, &error);
  ReadActivePeers(reader.ReadArray("peers"), &result.usage, &error);
  if (!error.empty()) return DecodeError(absl::StatusCode::kInvalidArgument, peer, error);
  return result;
}

}  // namespace primroseweir
