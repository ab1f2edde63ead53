#ifndef STANDINS_WIRE_GENERATED_CONTENT_H_
#define STANDINS_WIRE_GENERATED_CONTENT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace primroseweir::standins {

// Returns the bytes from `offset` up to, but not including, `offset + size` of the given version of
// the download `name`. Each byte depends on name, version and offset, so that a caller can verify a
// download without a stored copy and detects pieces that are swapped or belong to another version.
// Complexity: linear in `size`.
std::string GenerateContent(const std::string& name, std::uint64_t version, std::uint64_t offset,
                            std::size_t size);

// Returns whether `data` equals the generated content that starts at `offset`.
bool IsGeneratedContent(const std::string& name, std::uint64_t version, std::uint64_t offset,
                        std::string_view data);

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_GENERATED_CONTENT_H_
