// One line of the load driver's record file: the result of one request as the caller sees it.

#ifndef CAMPHORCLEAT_HARNESS_CALLRECORD_H_
#define CAMPHORCLEAT_HARNESS_CALLRECORD_H_

#include <optional>
#include <string>

#include "base/Codec.h"

namespace camphorcleat::harness {

enum class CallResult
{
  Served,      ///< The response is 2xx, complete and belongs to this request.
  Mismatched,  ///< The response is 2xx and complete, but doesn't belong to this request.
  Refused,     ///< The entry reports that the request did not run.
  Unknown,     ///< The entry reports that it may have run, or no complete response arrived.
  Other,       ///< The response is a failure without a known outcome header.
  Unreachable, ///< Connecting to the entry failed; nothing was sent.
  Unsent,      ///< The driver's connection limit was reached; nothing was sent.
};

struct CallRecord
{
  std::int64_t scheduledUs = 0; ///< CLOCK_MONOTONIC; when the request is due in the open loop.
  std::int64_t doneUs = 0;      ///< CLOCK_MONOTONIC; when the result is known.
  std::string load;             ///< Name of the stream.
  std::string id;               ///< Unique; also sent in the query as id=.
  std::string account;
  std::string service;
  std::string key;
  std::string method;
  std::string entry;                  ///< Address of the entry, ip:port.
  unsigned status = 0;                ///< 0 if no response arrived.
  std::string outcome;                ///< Value of Camphorcleat-Outcome.
  std::string code;                   ///< From the JSON body of a failure response.
  std::optional<std::string> message; ///< From the JSON body of a failure response.
  std::int64_t latencyUs = 0;         ///< From the time the request is due to its completion.
  bool isVerified = false;            ///< Whether the response is complete and for this request.
  CallResult result = CallResult::Other;
  std::optional<std::string> error; ///< Why there is no complete response for this request.

  static constexpr auto fields()
  {
    return std::make_tuple(
      field("t_us", &CallRecord::scheduledUs), field("t_us_done", &CallRecord::doneUs),
      field("load", &CallRecord::load), field("id", &CallRecord::id),
      field("account", &CallRecord::account), field("service", &CallRecord::service),
      field("key", &CallRecord::key), field("method", &CallRecord::method),
      field("entry", &CallRecord::entry), field("status", &CallRecord::status),
      field("outcome", &CallRecord::outcome), field("code", &CallRecord::code),
      field("message", &CallRecord::message), field("latency_us", &CallRecord::latencyUs),
      field("whole", &CallRecord::isVerified), field("result", &CallRecord::result),
      field("fault", &CallRecord::error));
  }
};

} // namespace camphorcleat::harness

namespace camphorcleat {

template<>
struct EnumNames<harness::CallResult>
{
  using Result = harness::CallResult;
  static constexpr EnumName<Result> kTable[] = {
    { Result::Served, "served" },   { Result::Mismatched, "wrong" },
    { Result::Refused, "refused" }, { Result::Unknown, "unknown" },
    { Result::Other, "other" },     { Result::Unreachable, "unreachable" },
    { Result::Unsent, "unsent" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_HARNESS_CALLRECORD_H_
