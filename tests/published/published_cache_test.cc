#include "primroseweir/published/published_cache.h"

#include <catch2/catch.hpp>
#include <map>

#include "primroseweir/base/random.h"
#include "primroseweir/published/encoded_snapshot_cache.h"
#include "primroseweir/published/published_snapshot.h"
#include "support/property.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kNow(seconds(100));

PublishedItem ItemOf(const std::string& key, std::uint64_t revision) {
  return {key, key + "@" + std::to_string(revision), Revision(revision)};
}

std::string KeysOf(const PublishedCache& cache) {
  std::string keys;
  for (const auto* item : cache.Items()) {
    keys += (keys.empty() ? "" : " ") + item->value;
  }
  return keys;
}

// Guards against a stale read or a peer that takes the state back.
TEST_CASE("the cache never steps back", "[published][config-in-force]") {
  PublishedCache cache("upstreams/");
  CHECK(cache.Replace({ItemOf("text", 5)}, Revision(5), kNow, kNow));
  CHECK_FALSE(cache.Replace({ItemOf("text", 3)}, Revision(4), kNow, kNow));
  CHECK_FALSE(cache.Put(ItemOf("text", 4)));
  CHECK_FALSE(cache.Erase("text", Revision(4), kNow, kNow));
  CHECK(KeysOf(cache) == "text@5");
  CHECK(cache.at() == Revision(5));
}

// Guards against upstreams that are given up because their entries lapsed while the store was away.
TEST_CASE("items that may have lapsed are kept for a while", "[published]") {
  PublishedCache cache("upstreams/");
  cache.Replace({ItemOf("out/a", 1), ItemOf("upstreams/x", 2), ItemOf("upstreams/y", 3)},
                Revision(3), kNow, kNow);
  CHECK(cache.Replace({}, Revision(6), kNow + seconds(2), kNow));
  CHECK(KeysOf(cache) == "upstreams/x@2 upstreams/y@3");
  cache.Put(ItemOf("upstreams/x", 7));
  CHECK_FALSE(cache.Expire(kNow + seconds(1)));
  CHECK(cache.Expire(kNow + seconds(2)));
  CHECK(KeysOf(cache) == "upstreams/x@7");
}

TEST_CASE("withdrawn items vanish at once when nothing lapsed", "[published][upstream-leaving]") {
  PublishedCache cache("upstreams/");
  cache.Replace({ItemOf("upstreams/x", 2)}, Revision(3), kNow, kNow);
  CHECK(cache.Erase("upstreams/x", Revision(4), kNow, kNow));
  CHECK(KeysOf(cache).empty());
}

// Guards against a large configuration that takes longer to reach a data centre over one slow link
// than it may take to be in force.
TEST_CASE("a large copy is small on the wire and survives it", "[published][config-in-force]") {
  PublishedCache cache("upstreams/");
  std::string routes;
  for (int i = 0; i < 1500; ++i) {
    routes += R"({"host":"example","prefix":"/some/path)" + std::to_string(i) + R"(/"},)";
  }
  cache.Replace({{"text", routes, Revision(5)}}, Revision(5), kNow, kNow);
  EncodedSnapshotCache copies(&cache);
  const auto text = copies.EncodeAfter(Revision(), kNow);
  CHECK(text.size() * 5 < routes.size());
  const auto snapshot = DecodePublishedSnapshot(text);
  REQUIRE(snapshot.ok());
  CHECK(snapshot->items.at(0).value == routes);
  for (std::size_t size = 0; size < text.size(); size += 97) {
    CHECK_FALSE(DecodePublishedSnapshot(text.substr(0, size)).ok());
  }
}

// Guards against peers that get an old answer because another one was kept.
TEST_CASE("a kept copy is encoded anew after a change", "[published][config-in-force]") {
  PublishedCache cache("upstreams/");
  EncodedSnapshotCache copies(&cache);
  cache.Replace({ItemOf("text", 5)}, Revision(5), kNow, kNow);
  const auto first = copies.EncodeAfter(Revision(), kNow);
  CHECK(copies.EncodeAfter(Revision(), kNow) == first);
  CHECK(copies.EncodeAfter(Revision(5), kNow) != first);
  cache.Put(ItemOf("text", 6));
  cache.Advance(Revision(6));
  CHECK(DecodePublishedSnapshot(copies.EncodeAfter(Revision(), kNow))->at == Revision(6));
}

// Guards against peers that miss a change, whatever they knew before.
TEST_CASE("a peer that follows by copies ends with the same items", "[published]") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Random random(seed);
    PublishedCache source("upstreams/");
    PublishedCache follower("upstreams/");
    Instant now = kNow;
    for (std::uint64_t revision = 1; revision <= 1500; ++revision) {
      now += milliseconds(50);
      const auto key = "upstreams/" + std::to_string(random.Below(40));
      if (random.Below(3) == 0) {
        const auto keep = random.Below(2) == 0 ? now : now + seconds(1);
        source.Erase(key, Revision(revision), keep, now);
      } else {
        source.Put(ItemOf(key, revision));
      }
      source.Advance(Revision(revision));
      source.Expire(now);
      follower.Expire(now);
      if (random.Below(revision < 700 ? 5 : 400) == 0) {
        const auto snapshot = DecodePublishedSnapshot(
            EncodePublishedSnapshot(source.SnapshotAfter(follower.at(), now)));
        REQUIRE(snapshot.ok());
        follower.Merge(*snapshot, now);
        CAPTURE(seed, revision);
        REQUIRE(KeysOf(follower) == KeysOf(source));
        REQUIRE(follower.at() == source.at());
      }
    }
  }
}

// Guards against a peer that keeps what was withdrawn while the source did not run yet (soak seed
// 3112: both data centres stayed out of service).
TEST_CASE("a source that started later tells everything", "[published][data-centre-out]") {
  PublishedCache follower("upstreams/");
  follower.Replace({ItemOf("out/a", 3), ItemOf("text", 2)}, Revision(21), kNow, kNow);
  PublishedCache source("upstreams/");
  source.Replace({ItemOf("text", 29)}, Revision(29), kNow, kNow);
  follower.Merge(source.SnapshotAfter(follower.at(), kNow), kNow);
  CHECK(KeysOf(follower) == "text@29");
  source.Put(ItemOf("text", 30));
  source.Advance(Revision(30));
  CHECK(source.SnapshotAfter(Revision(29), kNow).after == Revision(29));
}

TEST_CASE("other texts are rejected", "[published]") {
  CHECK(CheckProperty(
      "any text", [](const std::string& text) { RC_ASSERT(!DecodePublishedSnapshot(text).ok()); }));
}

}  // namespace
}  // namespace primroseweir
