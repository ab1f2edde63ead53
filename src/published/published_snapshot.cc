#include "primroseweir/published/published_snapshot.h"

#include <zlib.h>

#include <chrono>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "primroseweir/base/error.h"
#include "primroseweir/base/json_error.h"

namespace primroseweir {
namespace {

// First byte of a zlib stream; a JSON object begins with another byte.
constexpr char kFirstDeflatedByte = '\x78';
// Shorter snapshots fit into a few packets without compression.
constexpr std::size_t kMinDeflatedBytes = 4096;
constexpr std::size_t kInflateChunkBytes = std::size_t{64} * 1024;

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

std::string Inflate(const std::string& bytes, std::size_t max_bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    throw std::runtime_error("inflate failed");
  }
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string text;
  std::string chunk(kInflateChunkBytes, '\0');
  int status = Z_OK;
  while (status == Z_OK && text.size() <= max_bytes) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = static_cast<uInt>(chunk.size());
    status = inflate(&stream, Z_NO_FLUSH);
    text.append(chunk, 0, chunk.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (status != Z_STREAM_END || text.size() > max_bytes) {
    throw std::invalid_argument("deflated snapshot is invalid, truncated or above the size limit");
  }
  return text;
}

}  // namespace

std::string EncodePublishedSnapshot(const PublishedSnapshot& snapshot, std::size_t max_text_bytes) {
  auto items = nlohmann::json::array();
  for (const auto& item : snapshot.items) {
    items.push_back({item.key, item.value, item.revision.value()});
  }
  auto tombstones = nlohmann::json::array();
  for (const auto& item : snapshot.tombstones) {
    tombstones.push_back({item.key, item.revision.value(), ToMilliseconds(item.keep_for)});
  }
  const nlohmann::json json = {{"after", snapshot.after.value()},
                               {"at", snapshot.revision.value()},
                               {"items", std::move(items)},
                               {"withdrawn", std::move(tombstones)}};
  // Values from other writers may hold bytes that are not UTF-8. Replacing them loses nothing,
  // since no reader accepts such values.
  auto text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > max_text_bytes) {
    return {};
  }
  return text.size() < kMinDeflatedBytes ? text : Deflate(text);
}

absl::StatusOr<PublishedSnapshot> DecodePublishedSnapshot(const std::string& text,
                                                          std::size_t max_text_bytes) {
  try {
    const bool deflated = !text.empty() && text.front() == kFirstDeflatedByte;
    const auto json = nlohmann::json::parse(deflated ? Inflate(text, max_text_bytes) : text);
    PublishedSnapshot snapshot;
    snapshot.after = Revision(json.at("after").get<std::uint64_t>());
    snapshot.revision = Revision(json.at("at").get<std::uint64_t>());
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
    return MakeError(absl::StatusCode::kInvalidArgument, {"peer snapshot", ""},
                     JsonErrorReason(error));
  }
}

}  // namespace primroseweir
