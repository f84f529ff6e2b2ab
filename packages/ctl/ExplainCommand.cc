// Each file is the log of one daemon. Its name identifies the daemon in the output.

#include "ctl/ExplainCommand.h"

#include <fstream>
#include <iostream>

#include "ctl/RequestTrace.h"

namespace camphorcleat::ctl {

namespace {

constexpr std::size_t kFirstFileIndex = 2;

std::string fileName(const std::string& aPath)
{
  const std::size_t slash = aPath.rfind('/');
  return slash == std::string::npos ? aPath : aPath.substr(slash + 1);
}

} // namespace

bool isExplainCommand(const std::vector<std::string>& aWords)
{
  return !aWords.empty() && aWords[0] == "explain";
}

ExitCode runExplain(const std::vector<std::string>& aWords)
{
  if (aWords.size() < kFirstFileIndex) {
    std::cerr << "usage: camphorcleatctl explain ID [FILE ...]\n";
    return ExitCode::UsageError;
  }
  LogLines log;
  for (std::size_t i = kFirstFileIndex; i < aWords.size(); ++i) {
    std::ifstream in(aWords[i]);
    if (!in) {
      std::cerr << "can't read " << aWords[i] << "\n";
      return ExitCode::UsageError;
    }
    readLog(in, fileName(aWords[i]), log);
  }
  if (aWords.size() == kFirstFileIndex) {
    readLog(std::cin, "-", log);
  }
  const RequestTrace trace = traceRequest(log, aWords[1]);
  std::cout << renderTrace(trace, log, aWords[1]);
  return trace.isFound() ? ExitCode::Success : ExitCode::Refused;
}

} // namespace camphorcleat::ctl
