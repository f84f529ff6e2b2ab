// Blocking HTTP requests with a time limit, for the scenario runner's control of other programs.

#ifndef CAMPHORCLEAT_HARNESS_HTTPCALL_H_
#define CAMPHORCLEAT_HARNESS_HTTPCALL_H_

#include <string>

#include "base/Time.h"
#include "harness/Endpoint.h"

namespace camphorcleat::harness {

struct HttpReply
{
  unsigned status = 0;
  std::string body;
};

/// Sends one request on a new connection and reads the answer of at most 64 MiB.
/// Fails with HarnessError. Thread-safe.
Result<HttpReply> httpCall(const Endpoint& aServer, const std::string& aMethod,
                           const std::string& aTarget, const std::string& aBody, Millis aTimeout);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_HTTPCALL_H_
