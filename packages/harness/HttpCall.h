// Blocking HTTP client with a time limit, with which the scenario runner controls other programs.

#ifndef CAMPHORCLEAT_HARNESS_HTTPCALL_H_
#define CAMPHORCLEAT_HARNESS_HTTPCALL_H_

#include <string>
#include <utility>
#include <vector>

#include "base/Time.h"
#include "harness/Endpoint.h"

namespace camphorcleat::harness {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpResponse
{
  unsigned status = 0;
  std::string body;
  HttpHeaders headers{};

  /// Returns the value of a header, or an empty text if it is absent. Names are case-insensitive.
  std::string header(const std::string& aName) const;
};

/// Sends one request on a new connection and returns the response, whose body is at most 64 MiB.
/// aTarget is the path and query. aTimeout limits the whole exchange, including connecting. Fails
/// with HarnessError. Thread-safe.
Result<HttpResponse> httpCall(const Endpoint& aServer, const std::string& aMethod,
                              const std::string& aTarget, const std::string& aBody, Millis aTimeout,
                              const HttpHeaders& aHeaders = {});

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_HTTPCALL_H_
