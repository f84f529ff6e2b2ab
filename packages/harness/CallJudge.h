// Judges an answer: is it complete, and is it the answer to this very request?

#ifndef CAMPHORCLEAT_HARNESS_CALLJUDGE_H_
#define CAMPHORCLEAT_HARNESS_CALLJUDGE_H_

#include <cstdint>
#include <string>

#include "harness/CallRecord.h"

namespace camphorcleat::harness {

/// What the answer must show. The id is the seed of request bodies and of streamed answers.
struct CallExpectation
{
  std::uint64_t bodyBytes = 0;
  std::uint64_t answerBytes = 0; ///< 0 for the JSON echo.
};

/// What arrived.
struct CallAnswer
{
  unsigned status = 0;
  std::string outcome; ///< Header Camphorcleat-Outcome.
  std::string body;
  bool isComplete = false;    ///< The framing of HTTP says that nothing is missing.
  std::string transportError; ///< Why it isn't complete.
};

/// Sets status, outcome, code, whole, result and fault from the answer. The record holds id,
/// service, key and method already. Thread-safe.
void judgeAnswer(const CallExpectation& aExpected, const CallAnswer& aAnswer, CallRecord& aRecord);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_CALLJUDGE_H_
