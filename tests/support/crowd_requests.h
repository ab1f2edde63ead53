#ifndef PRIMROSEWEIR_TESTS_SUPPORT_CROWD_REQUESTS_H_
#define PRIMROSEWEIR_TESTS_SUPPORT_CROWD_REQUESTS_H_

#include <cstddef>
#include <cstdio>
#include <string>

namespace primroseweir::testing {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = kKilobyte * 1024;
constexpr std::size_t kLargePiece = 64 * kKilobyte;

// Returns the head of a POST request without its empty line; both stacks accept it.
inline std::string OpenHead(const std::string& target) {
  return "POST " + target +
         " HTTP/1.1\r\nHost: desk\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 60000\r\n"
         "Primroseweir-Deadline-Ms: 60000\r\n";
}

// Returns a complete request without a body.
inline std::string GetRequest(const std::string& target) {
  return "GET " + target +
         " HTTP/1.1\r\nHost: desk\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 60000\r\n"
         "Primroseweir-Deadline-Ms: 60000\r\n\r\n";
}

// Returns a request with a body of `size` bytes that lacks its last byte.
inline std::string ByteShort(const std::string& target, std::size_t size) {
  return OpenHead(target) + "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
         std::string(size - 1, 'x');
}

// Returns a request with a body of about `size` bytes in chunks of `chunk_bytes`, without its end.
inline std::string ChunksWithoutEnd(const std::string& target, std::size_t size,
                                    std::size_t chunk_bytes) {
  char length[24];
  std::snprintf(length, sizeof length, "%zx\r\n", chunk_bytes);
  const auto chunk = length + std::string(chunk_bytes, 'x') + "\r\n";
  auto request = OpenHead(target) + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t bytes = 0; bytes + chunk_bytes < size; bytes += chunk_bytes) {
    request += chunk;
  }
  return request;
}

// Returns `start` followed by short header fields up to `size` bytes, without the empty line.
inline std::string ManyFields(const std::string& start, std::size_t size) {
  auto head = start;
  while (head.size() + 7 <= size) {
    head += "a:b\r\n";
  }
  return head;
}

inline std::string Repeat(const std::string& text, int count) {
  std::string result;
  for (int i = 0; i < count; ++i) {
    result += text;
  }
  return result;
}

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_SUPPORT_CROWD_REQUESTS_H_
