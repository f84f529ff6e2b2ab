// Functions and exit statuses shared by the main functions of the test programs.

#ifndef CAMPHORCLEAT_HARNESS_PROGRAM_H_
#define CAMPHORCLEAT_HARNESS_PROGRAM_H_

#include <functional>

#include <boost/asio/io_context.hpp>

#include "base/Errors.h"

namespace camphorcleat::harness {

// Exit statuses of the test programs.
constexpr int kExitSuccess = 0;
constexpr int kExitFailedExpectation = 1; ///< A scenario's statement or expectation failed.
constexpr int kExitUsage = 2;
constexpr int kExitError = 3; ///< Any other failure or exception.

/// Runs the body of a program and returns its exit status. A failure or an exception is printed to
/// standard error; the status is kExitUsage for a UsageError and kExitError otherwise.
int runProgram(const char* aName, const std::function<Result<int>()>& aBody);

/// Runs the event loop until SIGINT or SIGTERM.
void runUntilSignal(boost::asio::io_context& aLoop);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_PROGRAM_H_
