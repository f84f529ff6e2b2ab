// Guards against settings that are ignored silently and errors without a line number.

#include <catch2/catch.hpp>

#include "base/IniFile.h"

namespace camphorcleat {

TEST_CASE("an unknown key is reported with its line number")
{
  auto file = IniFile::parse("a.ini", "# head\n[node]\nid = 4\n\n; note\n[lease]\nlenght_ms=5\n");
  REQUIRE(file);
  REQUIRE(file->value("node", "id") == std::string("4"));
  REQUIRE_FALSE(file->value("node", "zone"));
  const auto faults = file->unknownKeys();
  REQUIRE(faults.size() == 1);
  REQUIRE(faults[0].message() == "a.ini:7: [lease] lenght_ms: unknown key");
}

TEST_CASE("a line with invalid INI syntax is reported with its line number")
{
  const std::string message = orElse(
    []() -> Result<std::string> {
      BOOST_LEAF_CHECK(IniFile::parse("a.ini", "[node]\nnonsense\n"));
      return std::string();
    },
    [](const ErrorInfo& aInfo) { return aInfo.message; });
  REQUIRE(message.find("a.ini:2:") == 0);
}

} // namespace camphorcleat
