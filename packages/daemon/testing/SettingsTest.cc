// Guards against reporting only the first error of a settings file, and against accepting
// contradictory settings.

#include <algorithm>
#include <sstream>

#include <catch2/catch.hpp>

#include "daemon/Settings.h"

namespace camphorcleat::daemon {
namespace {

const std::string kGood = "[fleet]\n"                     // 1
                          "name = tbilisi\n"              // 2
                          "[node]\n"                      // 3
                          "id = 4\n"                      // 4
                          "zone = a\n"                    // 5
                          "[listen]\n"                    // 6
                          "callers = 127.0.0.1:8001\n"    // 7
                          "peers = 127.0.0.1:8002\n"      // 8
                          "operators = 127.0.0.1:8003\n"  // 9
                          "[control]\n"                   // 10
                          "members = 1@127.0.0.1:7001\n"; // 11

std::vector<std::string> linesOf(const std::string& aText)
{
  std::vector<std::string> out;
  std::istringstream in(aText);
  for (std::string line; std::getline(in, line);) {
    out.push_back(line);
  }
  return out;
}

// Returns the errors as "file:line: [section] key: reason", sorted; empty if the text is valid.
std::vector<std::string> faultsOf(const std::string& aText)
{
  auto out = orElse(
    [&]() -> Result<std::vector<std::string>> {
      BOOST_LEAF_CHECK(parseSettings("a.ini", aText));
      return std::vector<std::string>();
    },
    [](const ErrorInfo& aInfo) { return linesOf(aInfo.message); });
  std::sort(out.begin(), out.end());
  return out;
}

bool hasFault(const std::vector<std::string>& aFaults, const std::string& aStart)
{
  return std::any_of(aFaults.begin(), aFaults.end(),
                     [&](const std::string& aFault) { return aFault.find(aStart) == 0; });
}

std::string replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const auto at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

} // namespace

TEST_CASE("keys that a file omits get their defaults")
{
  const auto settings = parseSettings("a.ini", kGood);
  REQUIRE(settings);
  CHECK(settings->partitionCount == 16384);
  CHECK(settings->lease.length == Millis(1000));
  CHECK(settings->lease.renewInterval == Millis(200));
  CHECK(settings->peersAnnounced == "127.0.0.1:8002");
  CHECK(settings->members.at(1) == "127.0.0.1:7001");
  CHECK_FALSE(settings->hasTarget());
  CHECK_FALSE(settings->isControlMember());
}

// Guards against stops that end long before, or not until, the platform kills the process (LOST).
TEST_CASE("the time limit of a planned stop follows the time after which the process is killed")
{
  const auto stopLimit = [](const std::string& aLimits) {
    return parseSettings("a.ini", kGood + "[limits]\n" + aLimits).value().stopLimit();
  };
  CHECK(stopLimit("drain_ms = 4000\n") == Millis(4000));
  CHECK(stopLimit("kill_after_s = 6\n") == Millis(5300));
  CHECK(stopLimit("kill_after_s = 10\n") == Millis(9300));
  CHECK(stopLimit("kill_after_s = 0.2\n") == Millis(0));
}

TEST_CASE("all errors are reported together, with file, line, section and key")
{
  const auto faults = faultsOf("[fleet]\n"
                               "name = Not A Name\n"
                               "partitions = many\n"
                               "[node]\n"
                               "id = 0\n"
                               "colour = red\n"
                               "[listen]\n"
                               "callers = localhost\n"
                               "peers = 127.0.0.1:70000\n"
                               "[lease]\n"
                               "length_ms = 5 s\n"
                               "[log]\n"
                               "level = loud\n"
                               "[peers]\n"
                               "x = 127.0.0.1:1\n"
                               "2 = nowhere\n"
                               "[control]\n"
                               "members = 1@127.0.0.1:7001, 2@127.0.0.1:7002\n");
  for (const char* it :
       { "a.ini:2: [fleet] name:", "a.ini:3: [fleet] partitions:", "a.ini:5: [node] id:",
         "a.ini:6: [node] colour: unknown key", "a.ini:8: [listen] callers:",
         "a.ini:9: [listen] peers:", "a.ini:11: [lease] length_ms:", "a.ini:13: [log] level:",
         "a.ini:15: [peers] x:", "a.ini:16: [peers] 2:", "a.ini:18: [control] members:" }) {
    INFO(it);
    CHECK(hasFault(faults, it));
  }
  const auto isMissing = [&](const std::string& aKey) {
    return std::count_if(faults.begin(), faults.end(), [&](const std::string& aFault) {
      return aFault.find(aKey + ": missing") != std::string::npos;
    });
  };
  CHECK(isMissing("[node] zone") == 1);
  CHECK(isMissing("[listen] operators") == 1);
  CHECK(faults.size() == 13);
}

TEST_CASE("a peer override is applied and not reported as an unknown key")
{
  const auto settings = parseSettings("a.ini", kGood + "[peers]\n7 = 127.0.0.1:9000\n");
  REQUIRE(settings);
  CHECK(settings->peerOverrides.at(7) == "127.0.0.1:9000");
}

TEST_CASE("contradictory settings are reported at the key to change")
{
  CHECK(hasFault(faultsOf(kGood + "data_folder = /tmp/x\n"), "a.ini:11: [control] members:"));
  CHECK(hasFault(faultsOf(replaced(kGood, "id = 4", "id = 1")), "a.ini:0: [control] data_folder:"));
  CHECK(hasFault(faultsOf(kGood + "heartbeat_ms = 50\nelection_min_ms = 100\n"),
                 "a.ini:13: [control] election_min_ms:"));
  CHECK(
    hasFault(faultsOf(kGood + "election_max_ms = 250\n"), "a.ini:12: [control] election_max_ms:"));
  CHECK(hasFault(faultsOf(kGood + "[lease]\nrenew_ms = 334\n"), "a.ini:13: [lease] renew_ms:"));
  CHECK(hasFault(faultsOf(kGood + "[lease]\nconfirm_limit_ms = 999\n"),
                 "a.ini:13: [lease] confirm_limit_ms:"));
  CHECK(hasFault(faultsOf(replaced(kGood, "peers = 127.0.0.1:8002", "peers = 127.0.0.1:8001")),
                 "a.ini:8: [listen] peers:"));
}

TEST_CASE("several contradictions are reported together")
{
  CHECK(faultsOf(kGood + "election_max_ms = 250\n[lease]\nrenew_ms = 500\nconfirm_limit_ms = 900\n")
          .size() == 3);
}

TEST_CASE("the largest renewal interval and the smallest confirm limit are accepted")
{
  CHECK(faultsOf(kGood + "[lease]\nlength_ms = 1000\nrenew_ms = 333\nconfirm_limit_ms = 1000\n")
          .empty());
}

TEST_CASE("member lists with an invalid size, duplicate ids or incomplete addresses are refused")
{
  for (const char* it : { "members = 1@127.0.0.1:7001, 1@127.0.0.1:7002, 2@127.0.0.1:7003",
                          "members = 0@127.0.0.1:7001", "members = 127.0.0.1:7001",
                          "members = 1@127.0.0.1", "members = 1@127.0.0.1:0",
                          "members = 1@127.0.0.1:7001,", "members = 4294967296@127.0.0.1:7001" }) {
    INFO(it);
    CHECK(hasFault(faultsOf(replaced(kGood, "members = 1@127.0.0.1:7001", it)),
                   "a.ini:11: [control] members:"));
  }
}

TEST_CASE("the reference lists every key that a file may have")
{
  const std::string reference = settingsReference();
  // Builds a file from the reference: each key must be known, and each default must be valid.
  std::map<std::string, std::string> sections;
  std::size_t rows = 0;
  for (const auto& line : linesOf(reference)) {
    std::istringstream in(line);
    std::string bar;
    std::string section;
    std::string key;
    std::string value;
    in >> bar >> section >> bar >> key >> bar >> value;
    if (section == "section" || section == "---") {
      continue;
    }
    ++rows;
    if (section != "peers" && value != "required" && value != "|") {
      sections[section].append(key).append(" = ").append(value).append("\n");
    }
  }
  std::string text = kGood + sections["control"];
  for (const auto& [section, keys] : sections) {
    std::string head = "[";
    head.append(section).append("]\n");
    if (section == "control") {
      continue;
    }
    if (text.find(head) != std::string::npos) {
      text = replaced(text, head, std::string(head).append(keys));
    } else {
      text.append(head).append(keys);
    }
  }
  CHECK(faultsOf(text).empty());
  CHECK(rows == 47);
  for (const char* it : { "| fleet | name | required |", "| lease | length_ms | 1000 |",
                          "| control | data_folder |  |", "| peers | NODE |" }) {
    INFO(it);
    CHECK(reference.find(it) != std::string::npos);
  }
}

} // namespace camphorcleat::daemon
