// The owner's refusal is more specific than the resulting failure at the entry, so it determines
// the cause if the logs contain both.

#include "ctl/RequestTrace.h"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>
#include <string_view>

#include <QDateTime>

#include "base/Errors.h"

namespace camphorcleat::ctl {

namespace {

// Longer than a lease, so that the context of a request that waited for a lost owner includes the
// loss.
constexpr qint64 kContextMillis = 12'000;
constexpr std::size_t kMaxContextLines = 40;

// Events that determine the outcome of a request, the most specific one first.
constexpr std::array<std::string_view, 4> kDecisions = { "request_refused", "attempt_failed",
                                                         "request_not_admitted", "request_failed" };

// Events that change the state on which a daemon bases its decisions.
constexpr std::array<std::string_view, 17> kContextEvents = {
  "became_leader",
  "configuration_in_force",
  "daemon_started",
  "daemon_stopped",
  "incarnation_started",
  "lost_leadership",
  "node_lost",
  "partitions_changed",
  "peer_link_lost",
  "planned_stop_started",
  "planned_stop_timed_out",
  "settings_reloaded",
  "target_announced",
  "target_down",
  "target_ended",
  "target_leaving",
  "was_suspended",
};

struct Cause
{
  ErrorCode code;
  std::string_view sentence;
};

constexpr Cause kCauses[] = {
  { ErrorCode::Overloaded, "The target had no capacity to respond in time: see queued and running, "
                           "and the mean run time." },
  { ErrorCode::QueueFull, "The queue of the target was full: see queued and running." },
  { ErrorCode::OverRate, "The account exceeded its rate limit, which applies to the whole fleet." },
  { ErrorCode::UnknownAccountKey,
    "No account in the daemon's configuration had the key: see its revision and age_ms." },
  { ErrorCode::UnknownService,
    "No route in the daemon's configuration matched the request: see its revision and age_ms." },
  { ErrorCode::ConfigStale, "The daemon had no configuration that was recent enough." },
  { ErrorCode::NotOwner,
    "The daemon did not own the key: it was being moved, or its owner was lost." },
  { ErrorCode::NoOwner,
    "The key had no owner: the previous one was lost and its lease had not expired." },
  { ErrorCode::LeaseExpired, "The daemon could not renew its lease with the control group." },
  { ErrorCode::TargetDown, "No process listened at the target's address." },
  { ErrorCode::TargetShed, "The target itself refused the request." },
  { ErrorCode::TargetFenced, "The target did not hold the key, or another target responded." },
  { ErrorCode::Draining, "The target was draining." },
  { ErrorCode::DeadlineExceeded,
    "The deadline of the request or the timeout of its route had passed." },
  { ErrorCode::PeerUnreachable, "The connection to the owner's daemon failed." },
  { ErrorCode::OutcomeUnknown,
    "The request was sent and no response was received: the target may have run it." },
  { ErrorCode::ResponseTruncated, "The target ended its response early." },
  { ErrorCode::Cancelled, "The caller closed its connection." },
};

template<std::size_t N>
std::size_t rankOf(const std::array<std::string_view, N>& aNames, const std::string& aName)
{
  return static_cast<std::size_t>(std::find(aNames.begin(), aNames.end(), aName) - aNames.begin());
}

qint64 millisOf(const LogLine& aLine)
{
  return QDateTime::fromString(QString::fromStdString(aLine.time), Qt::ISODateWithMs)
    .toMSecsSinceEpoch();
}

void sortByTime(std::vector<LogLine>& aLines)
{
  std::stable_sort(aLines.begin(), aLines.end(), [](const LogLine& aLeft, const LogLine& aRight) {
    return aLeft.time < aRight.time;
  });
}

std::string causeOf(const std::string& aCode)
{
  const auto code = enumFromName<ErrorCode>(aCode);
  for (const auto& it : kCauses) {
    if (code == it.code) {
      return std::string(it.sentence);
    }
  }
  return "See the reason of the decision.";
}

void addContext(const LogLines& aLog, RequestTrace& aTrace)
{
  std::set<std::string> sources;
  for (const auto& it : aTrace.decisions) {
    sources.insert(it.source);
  }
  const qint64 last = millisOf(aTrace.decisions.back());
  for (const auto& it : aLog.lines) {
    const qint64 age = last - millisOf(it);
    const bool isContext = rankOf(kContextEvents, it.event) < kContextEvents.size();
    if (isContext && sources.count(it.source) > 0 && age >= 0 && age <= kContextMillis) {
      aTrace.context.push_back(it);
    }
  }
  sortByTime(aTrace.context);
  if (aTrace.context.size() > kMaxContextLines) {
    aTrace.context.erase(aTrace.context.begin(),
                         aTrace.context.end() - static_cast<std::ptrdiff_t>(kMaxContextLines));
  }
}

void writeLine(std::ostringstream& aOut, const LogLine& aLine)
{
  aOut << "  " << aLine.time << "  " << aLine.source << "  " << aLine.event;
  for (const auto& [name, value] : aLine.fields) {
    if (name != "level" && name != "request") {
      aOut << " " << name << "=" << value;
    }
  }
  aOut << "\n";
}

} // namespace

RequestTrace traceRequest(const LogLines& aLog, const std::string& aRequest)
{
  RequestTrace out;
  std::copy_if(aLog.lines.begin(), aLog.lines.end(), std::back_inserter(out.decisions),
               [&](const LogLine& aLine) { return aLine.field("request") == aRequest; });
  if (!out.isFound()) {
    return out;
  }
  sortByTime(out.decisions);
  const LogLine* decisive = nullptr;
  for (const auto& it : out.decisions) {
    const std::size_t rank = rankOf(kDecisions, it.event);
    const bool isBetter = decisive == nullptr || rank <= rankOf(kDecisions, decisive->event);
    if (rank < kDecisions.size() && isBetter) {
      decisive = &it;
    }
  }
  if (decisive != nullptr) {
    out.code = decisive->field("code");
    out.cause = causeOf(out.code);
  }
  addContext(aLog, out);
  return out;
}

std::string renderTrace(const RequestTrace& aTrace, const LogLines& aLog,
                        const std::string& aRequest)
{
  std::ostringstream out;
  if (!aTrace.isFound()) {
    out << "no line about request " << aRequest << "\n";
  } else {
    out << "decisions about request " << aRequest << ":\n";
    for (const auto& it : aTrace.decisions) {
      writeLine(out, it);
    }
    out << "state changes of these daemons shortly before:\n";
    for (const auto& it : aTrace.context) {
      writeLine(out, it);
    }
    if (!aTrace.code.empty()) {
      out << "cause: " << aTrace.code << ". " << aTrace.cause << "\n";
    }
  }
  std::size_t dropped = 0;
  for (const auto& it : aLog.lines) {
    dropped += it.event == "log_lines_dropped" ? 1 : 0;
  }
  if (dropped > 0) {
    out << "note: lines were dropped under load at " << dropped << " places of these logs\n";
  }
  if (aLog.skippedCount > 0) {
    out << "note: " << aLog.skippedCount << " lines could not be read\n";
  }
  return out.str();
}

} // namespace camphorcleat::ctl
