// Each file is the log of one daemon and names its lines.

#include "ctl/ExplainCommand.h"

#include <fstream>
#include <iostream>

#include "ctl/RequestTrace.h"

namespace camphorcleat::ctl {

namespace {

constexpr std::size_t kFirstFile = 2;

std::string fileName(const std::string& aPath)
{
  const std::size_t slash = aPath.rfind('/');
  return slash == std::string::npos ? aPath : aPath.substr(slash + 1);
}

} // namespace

bool isExplain(const std::vector<std::string>& aWords)
{
  return !aWords.empty() && aWords[0] == "explain";
}

ExitCode runExplain(const std::vector<std::string>& aWords)
{
  if (aWords.size() < kFirstFile) {
    std::cerr << "usage: camphorcleatctl explain ID [FILE ...]\n";
    return ExitCode::WrongUsage;
  }
  LogLines log;
  for (std::size_t i = kFirstFile; i < aWords.size(); ++i) {
    std::ifstream in(aWords[i]);
    if (!in) {
      std::cerr << "can't read " << aWords[i] << "\n";
      return ExitCode::WrongUsage;
    }
    readLog(in, fileName(aWords[i]), log);
  }
  if (aWords.size() == kFirstFile) {
    readLog(std::cin, "-", log);
  }
  const RequestTrace trace = traceRequest(log, aWords[1]);
  std::cout << renderTrace(trace, log, aWords[1]);
  return trace.isFound() ? ExitCode::Done : ExitCode::Refused;
}

} // namespace camphorcleat::ctl
