// Tests that all charts load, that they allow exactly the expected transitions, and that errors in
// charts are reported with their line.

#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "daemon/ChartFiles.h"
#include "daemon/StateChart.h"
#include "daemon/testing/ChartFixtures.h"

namespace camphorcleat::daemon {

namespace {

// Maps state and event to the next state. Written out here instead of read from the charts, so that
// an unintended change of a chart is detected.
using Transitions = std::map<std::pair<std::string, std::string>, std::string>;

const std::map<std::string, Transitions>& expectedCharts()
{
  static const std::map<std::string, Transitions> sCharts = {
    { "target.scxml",
      {
        { { "gone", "target.announced" }, "announced" },
        { { "gone", "target.back" }, "announced" },
        { { "announced", "target.cold" }, "cold" },
        { { "announced", "target.warming" }, "warming" },
        { { "announced", "target.warm" }, "serving" },
        { { "announced", "target.draining" }, "draining" },
        { { "announced", "target.unreachable" }, "frozen" },
        { { "cold", "target.announced" }, "announced" },
        { { "cold", "target.warming" }, "warming" },
        { { "cold", "target.warm" }, "serving" },
        { { "cold", "target.draining" }, "draining" },
        { { "cold", "target.unreachable" }, "frozen" },
        { { "warming", "target.announced" }, "announced" },
        { { "warming", "target.cold" }, "cold" },
        { { "warming", "target.warm" }, "serving" },
        { { "warming", "target.draining" }, "draining" },
        { { "warming", "target.unreachable" }, "frozen" },
        { { "serving", "target.announced" }, "announced" },
        { { "serving", "target.cold" }, "cold" },
        { { "serving", "target.draining" }, "draining" },
        { { "serving", "target.unreachable" }, "frozen" },
        { { "draining", "target.announced" }, "announced" },
        { { "draining", "target.cold" }, "cold" },
        { { "draining", "target.warming" }, "warming" },
        { { "draining", "target.warm" }, "serving" },
        { { "draining", "target.unreachable" }, "gone" },
        { { "frozen", "target.announced" }, "announced" },
        { { "frozen", "target.back" }, "announced" },
      } },
    { "zone.scxml",
      {
        { { "in", "zone.out" }, "leaving" },
        { { "leaving", "zone.empty" }, "out" },
        { { "leaving", "zone.in" }, "returning" },
        { { "out", "zone.in" }, "returning" },
        { { "returning", "zone.occupied" }, "in" },
        { { "returning", "zone.out" }, "leaving" },
      } },
    { "peer-link.scxml",
      {
        { { "connecting", "link.opened" }, "open" },
        { { "connecting", "link.closed" }, "closed" },
        { { "open", "link.silent" }, "silent" },
        { { "open", "link.closed" }, "closed" },
        { { "silent", "link.traffic" }, "open" },
        { { "silent", "link.closed" }, "closed" },
      } },
    { "lease-holder.scxml",
      {
        { { "unregistered", "lease.registering" }, "registering" },
        { { "unregistered", "lease.granted" }, "held" },
        { { "registering", "lease.granted" }, "held" },
        { { "registering", "lease.refused" }, "unregistered" },
        { { "held", "lease.expired" }, "expired" },
        { { "held", "lease.refused" }, "unregistered" },
        { { "expired", "lease.granted" }, "held" },
        { { "expired", "lease.refused" }, "unregistered" },
      } },
  };
  return sCharts;
}

std::unique_ptr<StateChart> mustLoad(const std::string& aFile)
{
  return orElse([&] { return StateChart::load(aFile, "test"); },
                [&](const ErrorInfo& aInfo) {
                  FAIL(aInfo.message);
                  return std::unique_ptr<StateChart>();
                });
}

// Returns the new state, or "error: " and the error message.
std::string outcome(StateChart& aChart, const std::string& aEvent)
{
  return orElse([&] { return aChart.submit(aEvent); },
                [](const ErrorInfo& aInfo) { return "error: " + aInfo.message; });
}

// Returns a sequence of events from the initial state to each reachable state, by the expected
// transitions.
std::map<std::string, std::vector<std::string>> paths(const Transitions& aTransitions,
                                                      const std::string& aInitial)
{
  std::map<std::string, std::vector<std::string>> out = { { aInitial, {} } };
  for (std::size_t known = 0; known != out.size();) {
    known = out.size();
    for (const auto& [from, to] : aTransitions) {
      const auto it = out.find(from.first);
      if (it != out.end() && out.count(to) == 0) {
        auto path = it->second;
        path.push_back(from.second);
        out.emplace(to, std::move(path));
      }
    }
  }
  return out;
}

ChartError parseErrorOf(const std::string& aText)
{
  return leaf::try_handle_all(
    [&]() -> Result<ChartError> {
      BOOST_LEAF_CHECK(StateChart::parse("broken.scxml", aText, "test"));
      return ChartError{};
    },
    [](const ChartError& aError) { return aError; }, [] { return ChartError{}; });
}

std::string chartWith(const std::string& aBody)
{
  return "<scxml xmlns=\"http://www.w3.org/2005/07/scxml\" version=\"1.0\" datamodel=\"null\"\n"
         "       initial=\"a\">\n" +
         aBody + "</scxml>\n";
}

} // namespace

TEST_CASE("every compiled chart loads and has the expected states")
{
  const QtScope qt;
  const std::map<std::string, std::set<std::string>> states = {
    { "target.scxml", { "announced", "cold", "warming", "serving", "draining", "frozen", "gone" } },
    { "zone.scxml", { "in", "leaving", "out", "returning" } },
    { "peer-link.scxml", { "connecting", "open", "silent", "closed" } },
    { "lease-holder.scxml", { "unregistered", "registering", "held", "expired" } },
  };
  REQUIRE(chartFiles().size() == states.size());
  for (const auto& file : chartFiles()) {
    const std::string name(file.name);
    INFO(name);
    REQUIRE(states.count(name) == 1);
    const auto found = mustLoad(name)->states();
    CHECK(std::set<std::string>(found.begin(), found.end()) == states.at(name));
  }
}

TEST_CASE("each state allows its events and refuses all others")
{
  const QtScope qt;
  for (const auto& [file, transitions] : expectedCharts()) {
    std::set<std::string> events = { "unknown.event" };
    for (const auto& [from, to] : transitions) {
      events.insert(from.second);
    }
    const auto reachable = paths(transitions, mustLoad(file)->state());
    CHECK(reachable.size() == mustLoad(file)->states().size());
    for (const auto& [state, path] : reachable) {
      for (const auto& event : events) {
        INFO(file << ": " << event << " in " << state);
        const auto chart = mustLoad(file);
        for (const auto& it : path) {
          outcome(*chart, it);
        }
        REQUIRE(chart->state() == state);
        const auto expected = transitions.find({ state, event });
        if (expected != transitions.end()) {
          CHECK(outcome(*chart, event) == expected->second);
          CHECK(chart->state() == expected->second);
        } else {
          const std::string refusal = ChartEventError{ "test", state, event }.message();
          CHECK(outcome(*chart, event) == "error: " + refusal);
          CHECK(chart->state() == state);
        }
      }
    }
  }
}

TEST_CASE("the error for a refused event contains event, chart and state")
{
  const QtScope qt;
  CHECK(outcome(*mustLoad("zone.scxml"), "zone.empty") ==
        "error: chart 'test' allows no event 'zone.empty' in state 'in'");
}

TEST_CASE("a transition to an unknown state is reported with its line")
{
  const QtScope qt;
  const ChartError error = parseErrorOf(
    chartWith("<state id=\"a\">\n<transition event=\"e\" target=\"nowhere\"/>\n</state>\n"));
  CHECK(error.file == "broken.scxml");
  CHECK(error.line == 4);
  CHECK_THAT(error.reason, Catch::Contains("nowhere"));
}

TEST_CASE("malformed XML is reported with its line")
{
  const QtScope qt;
  const ChartError error = parseErrorOf(chartWith("<state id=\"a\">\n</stat>\n"));
  CHECK(error.line == 4);
  CHECK_FALSE(error.reason.empty());
}

TEST_CASE("constructs that would hide a refused event are reported with their line")
{
  const QtScope qt;
  const auto [body, line, reason] = GENERATE(table<std::string, int, std::string>({
    { "<state id=\"a\">\n<transition event=\"e\" target=\"a\"/></state>\n", 4, "same state" },
    { "<state id=\"a\">\n<transition event=\"e\"/></state>\n", 4, "exactly one target" },
    { "<state id=\"a\">\n<transition target=\"b\"/></state><state id=\"b\"/>\n", 4, "no event" },
    { "<state id=\"a\">\n<state id=\"b\"/></state>\n", 4, "inside state 'a'" },
    { "<state id=\"a\"/>\n<parallel/>\n", 4, "<parallel>" },
  }));
  const ChartError error = parseErrorOf(chartWith(body));
  CHECK(error.line == line);
  CHECK_THAT(error.reason, Catch::Contains(reason));
}

TEST_CASE("a chart with a scripting data model is refused")
{
  const QtScope qt;
  const ChartError error =
    parseErrorOf("<scxml xmlns=\"http://www.w3.org/2005/07/scxml\" version=\"1.0\"\n"
                 "  datamodel=\"ecmascript\"><state id=\"a\"/></scxml>\n");
  CHECK(error.line == 2);
  CHECK_THAT(error.reason, Catch::Contains("datamodel"));
}

TEST_CASE("loading an unknown chart fails with an error")
{
  const QtScope qt;
  const std::string message = orElse(
    []() -> Result<std::string> {
      BOOST_LEAF_CHECK(StateChart::load("absent.scxml", "test"));
      return std::string();
    },
    [](const ErrorInfo& aInfo) { return aInfo.message; });
  CHECK(message == "absent.scxml:0: no such chart");
}

} // namespace camphorcleat::daemon
