// Error types of the test programs.

#ifndef CAMPHORCLEAT_HARNESS_HARNESSERRORS_H_
#define CAMPHORCLEAT_HARNESS_HARNESSERRORS_H_

#include <string>

#include "base/Errors.h"

namespace camphorcleat::harness {

/// Reports an invalid argument, plan or statement.
struct UsageError
{
  static constexpr ErrorCode kCode = ErrorCode::UsageError;
  std::string reason;
  std::string message() const { return reason; }
};

/// Reports a failure of a program, port or connection of the test fleet.
struct HarnessError
{
  static constexpr ErrorCode kCode = ErrorCode::Internal;
  std::string reason;
  std::string message() const { return reason; }
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_HARNESSERRORS_H_
