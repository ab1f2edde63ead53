#ifndef TESTS_SUPPORT_SESSION_H_
#define TESTS_SUPPORT_SESSION_H_

#include <string>
#include <utility>
#include <vector>

#include "support/site.h"

namespace primroseweir::testing {

// Writes down what a caller sends and receives, with addresses, times and ids replaced by names, to
// be compared with a golden file.
class Session {
 public:
  explicit Session(const Site* site) : site_(site) {}

  // Sends the request as it stands, but with CRLF for each line end, to that instance's caller port
  // and writes down both sides.
  standins::HttpResponse Call(int instance, const std::string& request);
  // As Call, to the admin port.
  standins::HttpResponse CallAdmin(int instance, const std::string& request);
  // Writes a line of its own, such as the operator's action that happens now.
  void Note(const std::string& line);
  // Replaces a text that differs between two runs by a name in all that is written.
  void Name(const std::string& text, const std::string& name);

  // Compares with tests/process/golden/NAME.txt. With PRIMROSEWEIR_UPDATE_GOLDEN set, writes the
  // file instead.
  void CheckAgainst(const std::string& name) const;

 private:
  standins::HttpResponse Exchange(const SocketAddress& to, const std::string& port, int instance,
                                  const std::string& request);
  std::string Normalize(std::string text) const;

  const Site* const site_;
  std::vector<std::pair<std::string, std::string>> names_;
  std::string text_;
};

}  // namespace primroseweir::testing

#endif  // TESTS_SUPPORT_SESSION_H_
