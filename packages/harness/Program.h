// What the main functions of the test programs share.

#ifndef CAMPHORCLEAT_HARNESS_PROGRAM_H_
#define CAMPHORCLEAT_HARNESS_PROGRAM_H_

#include <functional>

#include <boost/asio/io_context.hpp>

#include "base/Errors.h"

namespace camphorcleat::harness {

// Exit statuses of the test programs.
constexpr int kExitSuccess = 0;
constexpr int kExitFailedExpectation = 1;
constexpr int kExitUsage = 2;
constexpr int kExitFault = 3;

/// Runs a program body; prints a failure or exception to standard error and turns it into a status.
int runProgram(const char* aName, const std::function<Result<int>()>& aBody);

/// Runs the event loop until SIGINT or SIGTERM.
void runUntilSignal(boost::asio::io_context& aLoop);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_PROGRAM_H_
