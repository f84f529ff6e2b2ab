// Checks that a response is complete and belongs to its request.

#ifndef CAMPHORCLEAT_HARNESS_RESPONSECHECK_H_
#define CAMPHORCLEAT_HARNESS_RESPONSECHECK_H_

#include <cstdint>
#include <string>

#include "harness/CallRecord.h"

namespace camphorcleat::harness {

/// Expected sizes of the request body, as echoed by the target, and of the response. Both are
/// filled with the byte pattern whose seed is the request's id.
struct CallExpectation
{
  std::uint64_t bodyBytes = 0;
  std::uint64_t responseBytes = 0; ///< 0 if the target sends its JSON echo.
};

/// The part of a response that arrived.
struct CallResponse
{
  unsigned status = 0; ///< 0 if no status line arrived.
  std::string outcome; ///< Value of Camphorcleat-Outcome.
  std::string body;
  bool isComplete = false;    ///< Whether the whole message arrived, according to HTTP framing.
  std::string transportError; ///< Why the response is incomplete.
};

/// Sets the status, outcome, code, message, isVerified, result and error of aRecord from the
/// response. Requires that the id, key and method of aRecord are set. Thread-safe.
void checkResponse(const CallExpectation& aExpected, const CallResponse& aResponse,
                   CallRecord& aRecord);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_RESPONSECHECK_H_
