// fault-proxy: TCP proxies that delay or drop bytes and truncate, reset or refuse connections on
// request.

#include <iostream>
#include <random>

#include <CLI/CLI.hpp>

#include "harness/FaultProxy.h"
#include "harness/Program.h"

namespace camphorcleat::harness {
namespace {

struct Arguments
{
  std::vector<std::string> links;
  std::string admin;
  std::uint64_t seed = 1;
};

Result<int> run(const Arguments& aArguments)
{
  boost::asio::io_context loop(1);
  FaultProxy proxy(loop, aArguments.seed);
  for (const auto& it : aArguments.links) {
    BOOST_LEAF_AUTO(route, LinkRoute::parse(it));
    proxy.addLink(route);
  }
  BOOST_LEAF_AUTO(address, parseEndpoint(aArguments.admin));
  AdminServer admin(loop, address, [&](const AdminRequest& aRequest) {
    return proxy.handleAdminRequest(aRequest);
  });
  std::cout << "admin " << endpointText(admin.endpoint()) << std::endl;
  runUntilSignal(loop);
  return kExitSuccess;
}

} // namespace
} // namespace camphorcleat::harness

int main(int argc, char** argv)
{
  using namespace camphorcleat::harness;
  Arguments arguments;
  CLI::App app("TCP proxies that inject faults on request");
  app.add_option("--link", arguments.links, "NAME=listen_ip:port>dest_ip:port, repeatable")
    ->required();
  app.add_option("--admin", arguments.admin, "admin address, ip:port")->required();
  app.add_option("--seed", arguments.seed, "seed of the random jitter");
  CLI11_PARSE(app, argc, argv);
  return runProgram("fault-proxy", [&] { return run(arguments); });
}
