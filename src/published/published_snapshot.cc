#include "primroseweir/published/published_snapshot.h"

#include <zlib.h>

#include <chrono>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "primroseweir/base/error.h"

namespace primroseweir {
namespace {

// A JSON object begins with another byte.
constexpr char kFirstDeflatedByte = '\x78';
// Shorter copies fit into a few packets as they are.
constexpr std::size_t kDeflatedFrom = 4096;
constexpr std::size_t kInflatePiece = std::size_t{64} * 1024;

std::string Deflate(const std::string& text) {
  auto size = compressBound(text.size());
  std::string result(size, '\0');
  const int status =
      compress2(reinterpret_cast<Bytef*>(result.data()), &size,
                reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_BEST_SPEED);
  if (status != Z_OK) {
    throw std::runtime_error("deflate failed");
  }
  result.resize(size);
  return result;
}

std::string Inflate(const std::string& bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    throw std::runtime_error("inflate failed");
  }
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string text;
  std::string piece(kInflatePiece, '\0');
  int status = Z_OK;
  while (status == Z_OK && text.size() <= kMaxPublishedSnapshotBytes) {
    stream.next_out = reinterpret_cast<Bytef*>(piece.data());
    stream.avail_out = static_cast<uInt>(piece.size());
    status = inflate(&stream, Z_NO_FLUSH);
    text.append(piece, 0, piece.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (status != Z_STREAM_END) {
    throw std::invalid_argument("not a whole deflated copy, or one above the limit");
  }
  return text;
}

}  // namespace

std::string EncodePublishedSnapshot(const PublishedSnapshot& snapshot) {
  auto items = nlohmann::json::array();
  for (const auto& item : snapshot.items) {
    items.push_back({item.key, item.value, item.revision.value()});
  }
  auto tombstones = nlohmann::json::array();
  for (const auto& item : snapshot.tombstones) {
    tombstones.push_back({item.key, item.revision.value(), ToMilliseconds(item.keep)});
  }
  const nlohmann::json json = {{"after", snapshot.after.value()},
                               {"at", snapshot.at.value()},
                               {"items", std::move(items)},
                               {"withdrawn", std::move(tombstones)}};
  // Values of other writers may hold bytes that are not UTF-8; no reader accepts those anyway.
  auto text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return text.size() < kDeflatedFrom ? text : Deflate(text);
}

absl::StatusOr<PublishedSnapshot> DecodePublishedSnapshot(const std::string& text) {
  try {
    const bool deflated = !text.empty() && text.front() == kFirstDeflatedByte;
    const auto json = nlohmann::json::parse(deflated ? Inflate(text) : text);
    PublishedSnapshot snapshot;
    snapshot.after = Revision(json.at("after").get<std::uint64_t>());
    snapshot.at = Revision(json.at("at").get<std::uint64_t>());
    for (const auto& item : json.at("items")) {
      snapshot.items.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>(),
                                Revision(item.at(2).get<std::uint64_t>())});
    }
    for (const auto& item : json.at("withdrawn")) {
      snapshot.tombstones.push_back({item.at(0).get<std::string>(),
                                     Revision(item.at(1).get<std::uint64_t>()),
                                     std::chrono::milliseconds(item.at(2).get<std::int64_t>())});
    }
    return snapshot;
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument, {"peer copy", ""}, error.what());
  }
}

}  // namespace primroseweir
