// Typed failures of the test programs.

#ifndef CAMPHORCLEAT_HARNESS_HARNESSERRORS_H_
#define CAMPHORCLEAT_HARNESS_HARNESSERRORS_H_

#include <string>

#include "base/Errors.h"

namespace camphorcleat::harness {

/// An argument, plan or statement that the program can't use.
struct UsageError
{
  static constexpr ErrorCode kCode = ErrorCode::UsageError;
  std::string reason;
  std::string message() const { return reason; }
};

/// A program, port or connection of the test fleet that doesn't work.
struct HarnessError
{
  static constexpr ErrorCode kCode = ErrorCode::Internal;
  std::string reason;
  std::string message() const { return reason; }
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_HARNESSERRORS_H_
