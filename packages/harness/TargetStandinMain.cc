// target-standin: stand-in for a server that owns keys, used by tests.

#include <iostream>
#include <random>

#include <CLI/CLI.hpp>

#include "harness/Program.h"
#include "harness/TargetServer.h"

namespace camphorcleat::harness {
namespace {

struct Arguments
{
  std::string listen = "127.0.0.1:0";
  std::string admin;
  std::string record;
  std::vector<std::string> secrets;
  std::int64_t warmUpMs = 500;
  TargetSettings target;
};

void declareOptions(CLI::App& aApp, Arguments& aOut)
{
  aApp.add_option("--listen", aOut.listen, "work address, ip:port");
  aApp.add_option("--admin", aOut.admin, "admin address, ip:port; none if absent");
  aApp.add_option("--id", aOut.target.id, "id of this target in its event file")->required();
  aApp.add_option("--service", aOut.target.service, "service announced")->required();
  aApp.add_option("--slots", aOut.target.slots, "concurrency limit when warm");
  aApp.add_option("--cold-slots", aOut.target.coldSlots, "concurrency limit at a cold start");
  aApp.add_option("--warm-up-ms", aOut.warmUpMs, "duration of the warm-up");
  aApp.add_flag("--checks-grants", aOut.target.checksGrants,
                "refuse requests without a valid grant");
  aApp.add_flag("--shed", aOut.target.shedsLoad,
                "refuse requests above the concurrency limit instead of running them slowly");
  aApp.add_option("--service-time-ms", aOut.target.serviceTimeMs, "mean service time");
  aApp.add_flag("--fixed", aOut.target.hasFixedServiceTime,
                "constant instead of exponential service time");
  aApp.add_option("--record", aOut.record, "file that receives one JSON line per event");
  aApp.add_option("--secret", aOut.secrets, "text that must not occur in a header or path");
  aApp.add_option("--seed", aOut.target.seed, "seed of the random numbers; random if absent");
}

Result<int> run(Arguments aArguments)
{
  aArguments.target.warmUp = Millis(aArguments.warmUpMs);
  BOOST_LEAF_AUTO(listen, parseEndpoint(aArguments.listen));
  BOOST_LEAF_AUTO(record, JsonLineWriter::open(aArguments.record));
  boost::asio::io_context loop(1);
  TargetServer server(loop, listen, aArguments.target, std::move(record));
  for (const auto& it : aArguments.secrets) {
    server.addSecret(it);
  }
  std::optional<AdminServer> admin;
  if (!aArguments.admin.empty()) {
    BOOST_LEAF_AUTO(address, parseEndpoint(aArguments.admin));
    admin.emplace(loop, address, [&](const AdminRequest& aRequest) {
      return server.handleAdminRequest(aRequest);
    });
  }
  std::cout << "listening " << endpointText(server.endpoint()) << std::endl;
  runUntilSignal(loop);
  return kExitSuccess;
}

} // namespace
} // namespace camphorcleat::harness

int main(int argc, char** argv)
{
  using namespace camphorcleat::harness;
  Arguments arguments;
  arguments.target.seed = std::random_device()();
  CLI::App app("Stand-in for a server that owns keys");
  declareOptions(app, arguments);
  CLI11_PARSE(app, argc, argv);
  return runProgram("target-standin", [&] { return run(arguments); });
}
