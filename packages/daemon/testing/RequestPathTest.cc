// Guards against paths that the daemon and the target read differently.

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

TEST_CASE("a percent sign that encodes nothing doesn't end the process")
{
  CHECK(splitPath("/lookup/%").service == "lookup");
  CHECK(splitPath("/lookup/%z").service == "lookup");
  CHECK(splitPath("/lookup/%00").key == std::string(1, '\0'));
}

TEST_CASE("one spelling of a key and another one name the same key")
{
  CHECK(splitPath("/lookup/%41bc").key == splitPath("/lookup/Abc").key);
}

TEST_CASE("an open route ends at a segment boundary")
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

TEST_CASE("a prefix may end with a slash")
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

TEST_CASE("dots inside of a segment and in the query are harmless")
{
  const std::vector<std::string> prefixes = { "/lookup/public" };
  CHECK(isOpenRoute("/lookup/public/a.b", prefixes));
  CHECK(isOpenRoute("/lookup/public/...", prefixes));
  CHECK(isOpenRoute("/lookup/public/a?next=/../%2e%2e//", prefixes));
}

TEST_CASE("another spelling of an open route's characters is not open")
{
  CHECK_FALSE(isOpenRoute("/lookup/%70ublic", { "/lookup/public" }));
}

} // namespace camphorcleat::daemon
