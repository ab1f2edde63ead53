#include "primroseweir/keys/call_key.h"

#include <catch2/catch.hpp>
#include <string>

#include "primroseweir/keys/call_key_issuer.h"

namespace primroseweir {
namespace {

const InstanceId kInstance("entry-1");

// Guards against an instance that accepts the keys of an earlier incarnation, although it doesn't
// know the calls that this incarnation started.
TEST_CASE("[at-most-once] only the incarnation that issued a key recognises it", "[at-most-once]") {
  const CallKeyIssuer issuer("secret", kInstance, Incarnation(7));
  const auto now = MonotonicNow();
  const auto key = ParseCallKey(issuer.MakePrefix(now) + ".mine");
  REQUIRE(key.ok());
  CHECK(issuer.Verify(*key));
  CHECK(issuer.IsIssuedHere(*key));
  CHECK(key->suffix == "mine");
  CHECK(key->expiry > now);
  CHECK(key->expiry <= now + CallKeyIssuer::kValidity);
  CHECK_FALSE(CallKeyIssuer("secret", kInstance, Incarnation(8)).IsIssuedHere(*key));
  CHECK_FALSE(CallKeyIssuer("secret", InstanceId("entry-2"), Incarnation(7)).IsIssuedHere(*key));
  CHECK_FALSE(CallKeyIssuer("other", kInstance, Incarnation(7)).Verify(*key));
}

// Guards against callers that forge a prefix or extend its validity.
TEST_CASE("a key with a changed character does not verify") {
  const CallKeyIssuer issuer("secret", kInstance, Incarnation(7));
  const auto text = issuer.MakePrefix(MonotonicNow()) + ".mine";
  for (std::size_t i = 0; i + 5 < text.size(); ++i) {
    auto changed = text;
    changed[i] = changed[i] == '1' ? '2' : '1';
    const auto key = ParseCallKey(changed);
    INFO(changed);
    CHECK_FALSE((key.ok() && issuer.Verify(*key)));
  }
}

// Guards against malformed keys that are accepted.
TEST_CASE("malformed keys are refused by the parser") {
  for (const std::string text :
       {"", "a", "a.1.n.1.mac", "a.1.n.1.mac.", "a.x.n.1.mac.s", "a.1.n.x.mac.s", ".1.n.1.mac.s",
        "a.1.n.1.mac.s p", "a.99999999999999999999.n.1.mac.s"}) {
    INFO(text);
    CHECK_FALSE(ParseCallKey(text).ok());
  }
  CHECK_FALSE(ParseCallKey("a.1.n.1.mac." + std::string(65, 's')).ok());
  CHECK(ParseCallKey("a.1.n.1.mac." + std::string(64, 's')).ok());
  CHECK(ParseCallKey("a.1.n.1.mac.s.with.dots").ok());
}

}  // namespace
}  // namespace primroseweir
