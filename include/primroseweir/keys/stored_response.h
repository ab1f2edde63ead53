#ifndef PRIMROSEWEIR_KEYS_STORED_RESPONSE_H_
#define PRIMROSEWEIR_KEYS_STORED_RESPONSE_H_

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace primroseweir {

// Response of a call that was executed, stored for callers that send the call again.
struct StoredResponse {
  int http_status = 200;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  // Returns the bytes that count against the limit of StartedCallTable.
  std::size_t Bytes() const {
    std::size_t bytes = body.size();
    for (const auto& [name, value] : fields) {
      bytes += name.size() + value.size();
    }
    return bytes;
  }
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_KEYS_STORED_RESPONSE_H_
