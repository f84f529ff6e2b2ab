// load-driver: generates open-loop HTTP/1.1 load according to a JSON plan.

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include "harness/HarnessErrors.h"
#include "harness/LoadDriver.h"
#include "harness/Program.h"

namespace camphorcleat::harness {
namespace {

struct Arguments
{
  std::string plan;
  std::string record;
  std::optional<std::uint64_t> seed;
};

Result<LoadPlan> readPlan(const Arguments& aArguments)
{
  std::ifstream in(aArguments.plan);
  if (!in) {
    return fail(StorageError{ aArguments.plan, "opening", errno });
  }
  std::stringstream text;
  text << in.rdbuf();
  BOOST_LEAF_AUTO(plan, parseLoadPlan(text.str()));
  if (aArguments.seed) {
    plan.seed = aArguments.seed;
  }
  return plan;
}

Result<int> run(const Arguments& aArguments)
{
  BOOST_LEAF_AUTO(plan, readPlan(aArguments));
  BOOST_LEAF_AUTO(record, JsonLineWriter::open(aArguments.record));
  boost::asio::io_context loop(1);
  BOOST_LEAF_AUTO(driver, LoadDriver::create(loop, std::move(plan), std::move(record)));
  boost::asio::signal_set signals(loop, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code aError, int) {
    if (!aError) {
      driver->stop();
    }
  });
  driver->start([&] { loop.stop(); });
  loop.run();
  std::cout << toJson(driver->statistics()) << std::endl;
  return kExitSuccess;
}

} // namespace
} // namespace camphorcleat::harness

int main(int argc, char** argv)
{
  using namespace camphorcleat::harness;
  Arguments arguments;
  CLI::App app("Open-loop HTTP load generator; prints a summary as JSON");
  app.add_option("plan", arguments.plan, "JSON file with the plan")->required();
  app.add_option("--record", arguments.record, "file that receives one JSON line per request");
  app.add_option("--seed", arguments.seed, "seed of the random numbers; overrides the plan's seed");
  CLI11_PARSE(app, argc, argv);
  return runProgram("load-driver", [&] { return run(arguments); });
}
