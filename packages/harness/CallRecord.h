// One line of the load driver's record: what a caller saw of one request.

#ifndef CAMPHORCLEAT_HARNESS_CALLRECORD_H_
#define CAMPHORCLEAT_HARNESS_CALLRECORD_H_

#include <optional>
#include <string>

#include "base/Codec.h"

namespace camphorcleat::harness {

enum class CallResult
{
  Served,      ///< 2xx, complete and the answer to this very request.
  Wrong,       ///< 2xx and complete, but not the answer to this request.
  Refused,     ///< The entry says the request did not run.
  Unknown,     ///< The entry says it may have run, or the connection broke, or time ran out.
  Other,       ///< A failure status without an outcome header.
  Unreachable, ///< No connection to the entry; nothing was sent.
  Unsent,      ///< The driver's own bound on connections was reached; nothing was sent.
};

struct CallRecord
{
  std::int64_t sentUs = 0; ///< CLOCK_MONOTONIC; when the request was due in the open loop.
  std::int64_t doneUs = 0;
  std::string load; ///< Name of the stream.
  std::string id;   ///< Unique; also in the query as id=.
  std::string account;
  std::string service;
  std::string key;
  std::string method;
  std::string entry;
  unsigned status = 0;                ///< 0 without an answer.
  std::string outcome;                ///< Header Camphorcleat-Outcome.
  std::string code;                   ///< From the JSON body of a failure.
  std::optional<std::string> message; ///< From the JSON body of a failure.
  std::int64_t latencyUs = 0;
  bool whole = false; ///< Complete and for this request.
  CallResult result = CallResult::Other;
  std::optional<std::string> fault; ///< Why it isn't whole.

  static constexpr auto fields()
  {
    return std::make_tuple(
      field("t_us", &CallRecord::sentUs), field("t_us_done", &CallRecord::doneUs),
      field("load", &CallRecord::load), field("id", &CallRecord::id),
      field("account", &CallRecord::account), field("service", &CallRecord::service),
      field("key", &CallRecord::key), field("method", &CallRecord::method),
      field("entry", &CallRecord::entry), field("status", &CallRecord::status),
      field("outcome", &CallRecord::outcome), field("code", &CallRecord::code),
      field("message", &CallRecord::message), field("latency_us", &CallRecord::latencyUs),
      field("whole", &CallRecord::whole), field("result", &CallRecord::result),
      field("fault", &CallRecord::fault));
  }
};

} // namespace camphorcleat::harness

namespace camphorcleat {

template<>
struct EnumNames<harness::CallResult>
{
  using Result = harness::CallResult;
  static constexpr EnumName<Result> kTable[] = {
    { Result::Served, "served" },   { Result::Wrong, "wrong" },
    { Result::Refused, "refused" }, { Result::Unknown, "unknown" },
    { Result::Other, "other" },     { Result::Unreachable, "unreachable" },
    { Result::Unsent, "unsent" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_HARNESS_CALLRECORD_H_
