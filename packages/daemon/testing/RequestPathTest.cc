// Guards against paths that the daemon and the target interpret differently, which could expose a
// protected route or select a wrong key.

#include <catch2/catch.hpp>

#include "daemon/RequestPath.h"

namespace camphorcleat::daemon {

TEST_CASE("service and key are the first two segments, decoded after the split")
{
  const auto check = [](const std::string& aPath, const std::string& aService,
                        const std::string& aKey) {
    INFO(aPath);
    CHECK(splitPath(aPath).service == aService);
    CHECK(splitPath(aPath).key == aKey);
  };
  check("/lookup/station-1/trains", "lookup", "station-1");
  check("/lookup/a%20b", "lookup", "a b");
  check("/lookup/a%2Fb/c", "lookup", "a/b");
  check("/lookup/a%2fb", "lookup", "a/b");
  check("/look%75p/k", "lookup", "k");
  check("/lookup/k?x=/other/key", "lookup", "k");
  check("/lookup?x=1", "lookup", "");
  check("/lookup/k#part", "lookup", "k");
  check("/lookup/", "lookup", "");
  check("/lookup//k", "lookup", "");
  check("/lookup/%3F", "lookup", "?");
  check("/lookup/a+b", "lookup", "a+b");
  check("/", "", "");
  check("", "", "");
  check("*", "*", "");
}

TEST_CASE("an invalid percent encoding does not crash the process")
{
  CHECK(splitPath("/lookup/%").service == "lookup");
  CHECK(splitPath("/lookup/%z").service == "lookup");
  CHECK(splitPath("/lookup/%00").key == std::string(1, '\0'));
}

TEST_CASE("percent-encoded and plain spellings of a key are equal")
{
  CHECK(splitPath("/lookup/%41bc").key == splitPath("/lookup/Abc").key);
}

TEST_CASE("a prefix of an open route matches only at a segment boundary")
{
  const std::vector<std::string> prefixes = { "/lookup/public" };
  CHECK(isOpenRoute("/lookup/public", prefixes));
  CHECK(isOpenRoute("/lookup/public/", prefixes));
  CHECK(isOpenRoute("/lookup/public/a/b", prefixes));
  CHECK(isOpenRoute("/lookup/public?x=1", prefixes));
  CHECK_FALSE(isOpenRoute("/lookup/publication", prefixes));
  CHECK_FALSE(isOpenRoute("/lookup/publi", prefixes));
  CHECK_FALSE(isOpenRoute("/lookup/Public", prefixes));
  CHECK_FALSE(isOpenRoute("/other?x=/lookup/public", prefixes));
  CHECK_FALSE(isOpenRoute("lookup/public", prefixes));
  CHECK_FALSE(isOpenRoute("/lookup/public", {}));
}

TEST_CASE("a prefix of an open route may end with a slash")
{
  CHECK(isOpenRoute("/lookup/public/a", { "/lookup/public/" }));
  CHECK_FALSE(isOpenRoute("/lookup/publication", { "/lookup/public/" }));
}

TEST_CASE("a path that a target might resolve to another route is never open")
{
  const std::vector<std::string> prefixes = { "/lookup/public" };
  for (const char* it :
       { "/lookup/public/../secret", "/lookup/public/..", "/lookup/public/./a",
         "/lookup/public/%2e%2e/secret", "/lookup/public/%2E./secret", "/lookup/public/.%2e/secret",
         "/lookup/public%2f..%2fsecret", "/lookup/public/a%2Fb", "/lookup/public/..%5csecret",
         "/lookup/public/..\\secret", "/lookup/public//secret", "//lookup/public",
         "/lookup//public", "/lookup/public/a//" }) {
    INFO(it);
    CHECK_FALSE(isOpenRoute(it, prefixes));
  }
}

TEST_CASE("dots inside a segment or in the query do not close an open route")
{
  const std::vector<std::string> prefixes = { "/lookup/public" };
  CHECK(isOpenRoute("/lookup/public/a.b", prefixes));
  CHECK(isOpenRoute("/lookup/public/...", prefixes));
  CHECK(isOpenRoute("/lookup/public/a?next=/../%2e%2e//", prefixes));
}

TEST_CASE("a path with percent-encoded letters does not match an open route")
{
  CHECK_FALSE(isOpenRoute("/lookup/%70ublic", { "/lookup/public" }));
}

} // namespace camphorcleat::daemon
