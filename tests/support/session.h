#ifndef TESTS_SUPPORT_SESSION_H_
#define TESTS_SUPPORT_SESSION_H_

#include <string>
#include <utility>
#include <vector>

#include "support/site.h"

namespace primroseweir::testing {

// Records the requests that a caller sends and the responses that it receives, for comparison with
// a golden file. Texts that differ between runs, such as addresses and ids, are replaced by
// placeholders.
class Session {
 public:
  explicit Session(const Site* site) : site_(site) {}

  // Sends the request to the caller port of that instance, unchanged except that each LF becomes
  // CRLF, and records the request and the response. Throws std::runtime_error when the port can't
  // be connected to.
  standins::HttpResponse Call(int instance, const std::string& request);
  // As Call, but to the admin port.
  standins::HttpResponse CallAdmin(int instance, const std::string& request);
  // Records a line of text, such as an action of the operator at this point.
  void AddNote(const std::string& line);
  // Replaces each occurrence of `text` in the whole recording by `placeholder`.
  void AddReplacement(const std::string& text, const std::string& placeholder);

  // Compares the recording with tests/process/golden/NAME.txt. When the environment variable
  // PRIMROSEWEIR_UPDATE_GOLDEN is set, writes that file instead.
  void CheckAgainstGolden(const std::string& name) const;

 private:
  standins::HttpResponse Exchange(const SocketAddress& address, const std::string& port,
                                  int instance, const std::string& request);
  std::string Normalize(std::string text) const;

  const Site* const site_;
  std::vector<std::pair<std::string, std::string>> replacements_;
  std::string recording_;
};

}  // namespace primroseweir::testing

#endif  // TESTS_SUPPORT_SESSION_H_
