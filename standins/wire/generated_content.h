#ifndef STANDINS_WIRE_GENERATED_CONTENT_H_
#define STANDINS_WIRE_GENERATED_CONTENT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace primroseweir::standins {

// Bytes `offset` to `offset + size` of the download `name` in that version. Each byte depends on
// the name, the version and its offset, so that a caller checks a download without storing it and
// notices pieces that are swapped or come from another version. Linear in `size`.
std::string GenerateContent(const std::string& name, std::uint64_t version, std::uint64_t offset,
                            std::size_t size);

// Whether `data` is what GenerateContent answers for `offset`.
bool IsGeneratedContent(const std::string& name, std::uint64_t version, std::uint64_t offset,
                        std::string_view data);

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_GENERATED_CONTENT_H_
