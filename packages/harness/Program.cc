// Error reporting and signal handling of the test programs.

#include "harness/Program.h"

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>

namespace camphorcleat::harness {

int runProgram(const char* aName, const std::function<Result<int>()>& aBody)
{
  try {
    return orElse(aBody, [&](const ErrorInfo& aInfo) {
      std::cerr << aName << ": " << aInfo.message << '\n';
      return aInfo.code == ErrorCode::UsageError ? kExitUsage : kExitError;
    });
  } catch (const std::exception& error) {
    std::cerr << aName << ": " << error.what() << '\n';
    return kExitError;
  }
}

void runUntilSignal(boost::asio::io_context& aLoop)
{
  boost::asio::signal_set signals(aLoop, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code, int) { aLoop.stop(); });
  aLoop.run();
}

} // namespace camphorcleat::harness
