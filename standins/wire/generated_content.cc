#include "wire/generated_content.h"

#include <cstring>
#include <vector>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir::standins {
namespace {

constexpr std::uint64_t kWordBytes = sizeof(std::uint64_t);

// Applies the final mixing steps of the SplitMix64 generator.
std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

std::string GenerateContent(const std::string& name, std::uint64_t version, std::uint64_t offset,
                            std::size_t size) {
  const std::uint64_t seed = StableHash(name, version);
  const std::uint64_t first_word = offset / kWordBytes;
  const std::uint64_t skipped_bytes = offset % kWordBytes;
  std::vector<std::uint64_t> words((skipped_bytes + size + kWordBytes - 1) / kWordBytes);
  for (std::size_t i = 0; i < words.size(); ++i) words[i] = Mix(seed + first_word + i);
  std::string content(size, '\0');
  if (size > 0) {
    std::memcpy(content.data(), reinterpret_cast<const char*>(words.data()) + skipped_bytes, size);
  }
  return content;
}

bool IsGeneratedContent(const std::string& name, std::uint64_t version, std::uint64_t offset,
                        std::string_view data) {
  return GenerateContent(name, version, offset, data.size()) == data;
}

}  // namespace primroseweir::standins
