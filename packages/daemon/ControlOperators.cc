// Handles operators' commands and queries at a control member, and at the leader those that other
// members forward to it.
//
// Any member accepts them. A follower forwards commands to the leader. For a query it requests the
// read index from the leader and evaluates the query on its own state once that index is applied,
// so that the response includes all commands that were committed before the query.

#include <algorithm>

#include <QCborArray>
#include <QCborMap>
#include <QJsonObject>

#include "base/Log.h"
#include "daemon/ControlDuty.h"
#include "fleet/QueryResult.h"
#include "wire/WireCodec.h"

namespace camphorcleat::daemon {

namespace {

// Maximum number of commands, and of reads, that wait for the leader.
constexpr std::size_t kMaxForwardedRequests = 4096;

constexpr std::size_t kMaxAuditRows = 200;

std::int64_t unixMillis()
{
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

void ControlDuty::propose(wire::Command aCommand, CommandCallback aCallback)
{
  aCommand.issuedAtUnixMillis = unixMillis();
  const std::uint64_t proposal = ++mCounter;
  mUnappendedProposals[proposal] = std::move(aCallback);
  stepLog(agreement::Propose{ proposal, wire::encodePayload(aCommand) });
}

void ControlDuty::submit(wire::Command aCommand, TimePoint aDeadline, CommandCallback aCallback)
{
  const NodeId leader = mLog.leader();
  if (mLeader.isLeading() || leader == mSettings.id) {
    propose(std::move(aCommand), std::move(aCallback));
    return;
  }
  if (leader == kNoNode || mForwardedCommands.size() >= kMaxForwardedRequests) {
    aCallback({ ErrorCode::NotLeader,
                "this member knows no leader of the control group, or too many commands already "
                "wait for the leader",
                0 },
              kNoNode);
    return;
  }
  const RequestId id{ mProcessIncarnation, ++mCounter };
  const auto sent =
    mRouter.send(leader, transport::Lane::Control, wire::CommandSubmit{ id, std::move(aCommand) });
  if (sent.status == transport::SendStatus::TooLarge) {
    aCallback({ ErrorCode::BodyTooLarge, "the command exceeds the size of a message", 0 }, leader);
    return;
  }
  if (sent.status != transport::SendStatus::Accepted) {
    aCallback(
      { ErrorCode::NotLeader, "this member can't reach the leader of the control group", 0 },
      kNoNode);
    return;
  }
  mForwardedCommands[id] = { aDeadline, std::move(aCallback) };
}

// Submits an operator's command so that no copy of it is carried out over a command that was
// accepted after the operator gave up on this one. A copy may be held up on its way to the leader
// for as long as a partition lasts. So it names the revision that a quorum confirmed while the
// operator was waiting, and is refused if a later command about the same objects has been accepted.
// A configuration names the version that it replaces instead.
void ControlDuty::submitInOrder(wire::Command aCommand, TimePoint aDeadline,
                                std::function<bool()> aIsAwaited, CommandCallback aCallback)
{
  const bool isConfiguration =
    std::any_of(aCommand.bodies.begin(), aCommand.bodies.end(), [](const wire::CommandBody& aBody) {
      return std::holds_alternative<wire::ReplaceConfiguration>(aBody);
    });
  if (isConfiguration || aCommand.expectedRevision) {
    submit(std::move(aCommand), aDeadline, std::move(aCallback));
    return;
  }
  ReadCallback onRead = [this, command = std::move(aCommand), aDeadline,
                         isAwaited = std::move(aIsAwaited),
                         callback = std::move(aCallback)](ErrorCode aCode, NodeId aHint) mutable {
    if (aCode != ErrorCode::None) {
      callback({ aCode, "the control leader did not confirm its revision; nothing was changed", 0 },
               aHint);
      return;
    }
    if (mNow >= aDeadline || !isAwaited()) {
      callback({ ErrorCode::DeadlineExceeded, "the operator gave up; nothing was changed", 0 },
               aHint);
      return;
    }
    command.notAfter = mState.revision();
    wire::Command copy = command;
    submit(std::move(copy), aDeadline,
           [this, command = std::move(command), aDeadline, isAwaited = std::move(isAwaited),
            callback = std::move(callback)](const wire::CommandResult& aResult,
                                            NodeId aLeaderHint) mutable {
             if (aResult.code == ErrorCode::Superseded && mNow < aDeadline && isAwaited()) {
               submitInOrder(std::move(command), aDeadline, std::move(isAwaited),
                             std::move(callback));
             } else {
               callback(aResult, aLeaderHint);
             }
           });
  };
  read(aDeadline, std::move(onRead));
}

void ControlDuty::requestReadIndex(ReadCallback aCallback)
{
  const std::uint64_t read = ++mCounter;
  mReads[read] = std::move(aCallback);
  stepLog(agreement::ReadRequested{ read });
}

void ControlDuty::finishRead(std::uint64_t aRead, ErrorCode aCode, NodeId aLeaderHint)
{
  const auto it = mReads.find(aRead);
  if (it == mReads.end()) {
    return;
  }
  const ReadCallback callback = std::move(it->second);
  mReads.erase(it);
  callback(aCode, aLeaderHint);
}

void ControlDuty::read(TimePoint aDeadline, ReadCallback aCallback)
{
  const NodeId leader = mLog.leader();
  if (mLeader.isLeading() || leader == mSettings.id) {
    requestReadIndex(std::move(aCallback));
    return;
  }
  if (leader == kNoNode || mForwardedReads.size() >= kMaxForwardedRequests) {
    aCallback(ErrorCode::NotLeader, kNoNode);
    return;
  }
  const RequestId id{ mProcessIncarnation, ++mCounter };
  const auto sent = mRouter.send(leader, transport::Lane::Control, wire::ReadSubmit{ id });
  if (sent.status != transport::SendStatus::Accepted) {
    aCallback(ErrorCode::NotLeader, kNoNode);
    return;
  }
  mForwardedReads[id] = { aDeadline, std::move(aCallback) };
}

void ControlDuty::handleOperator(OperatorRequest aRequest)
{
  orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(statement, fleet::parseStatement(aRequest.statement));
      if (const auto* query = std::get_if<fleet::Query>(&statement)) {
        handleQuery(*query, aRequest);
      } else {
        handleChange(std::get<fleet::ChangeRequest>(std::move(statement)), aRequest);
      }
      return true;
    },
    [&](const ErrorInfo& aInfo) {
      aRequest.reply(refusalJson(aInfo.code, aInfo.message, mState.operatorRevision()));
      return false;
    });
}

void ControlDuty::handleCommand(CommandRequest aRequest)
{
  submitInOrder(std::move(aRequest.command), aRequest.deadline, std::move(aRequest.isAwaited),
                [reply = aRequest.reply](const wire::CommandResult& aResult, NodeId /*aHint*/) {
                  reply(aResult);
                });
}

void ControlDuty::handleDocument(const DocumentRequest& aRequest)
{
  read(aRequest.deadline, [this, reply = aRequest.reply](ErrorCode aCode, NodeId /*aHint*/) {
    reply({ aCode, aCode == ErrorCode::None ? mState.document() : std::string() });
  });
}

void ControlDuty::handleQuery(const fleet::Query& aQuery, const OperatorRequest& aRequest)
{
  read(aRequest.deadline, [this, aQuery, reply = aRequest.reply](ErrorCode aCode,
                                                                 NodeId /*aHint*/) {
    if (aCode != ErrorCode::None) {
      reply(
        refusalJson(aCode, "the control leader did not confirm the read; try another member", 0));
      return;
    }
    reply(responseJson({ ErrorCode::None, "", mState.operatorRevision() }, evaluateQuery(aQuery)));
  });
}

void ControlDuty::handleChange(fleet::ChangeRequest aChange, const OperatorRequest& aRequest)
{
  wire::Command command;
  command.commandId = aRequest.commandId;
  command.issuer = aRequest.issuer;
  command.expectedRevision = aRequest.expectedRevision;
  command.bodies = std::move(aChange.bodies);
  if (command.commandId.empty() || command.issuer.empty()) {
    aRequest.reply(
      refusalJson(ErrorCode::InvalidCommand, "a change needs a command id and an operator", 0));
    return;
  }
  if (aRequest.isDryRun) {
    dryRun(command, aRequest);
    return;
  }
  submitInOrder(std::move(command), aRequest.deadline, aRequest.isAwaited,
                [reply = aRequest.reply](const wire::CommandResult& aResult, NodeId /*aHint*/) {
                  reply(responseJson(aResult, QCborValue()));
                });
}

void ControlDuty::dryRun(const wire::Command& aCommand, const OperatorRequest& aRequest)
{
  read(aRequest.deadline, [this, aCommand, reply = aRequest.reply](ErrorCode aCode, NodeId) {
    if (aCode != ErrorCode::None) {
      reply(
        refusalJson(aCode, "the control leader did not confirm the read; try another member", 0));
      return;
    }
    const std::string json = leaf::try_handle_all(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(changes, mState.dryRun(aCommand));
        return responseJson({ ErrorCode::None, "not applied: dry run", mState.operatorRevision() },
                            toCborValue(changes));
      },
      [](const fleet::CommandRefused& aRefused) {
        return responseJson(aRefused.result, QCborValue());
      },
      [](const ErrorInfo& aInfo) { return refusalJson(aInfo.code, aInfo.message, 0); },
      [] { return refusalJson(ErrorCode::Internal, "failure without details", 0); });
    reply(json);
  });
}

QCborValue ControlDuty::evaluateQuery(const fleet::Query& aQuery)
{
  if (const auto result = fleet::evaluateQuery(mState.model(), aQuery)) {
    return QCborValue::fromJsonValue(*result);
  }
  QCborMap out;
  switch (aQuery.kind) {
    case fleet::QueryKind::Status:
      out.insert(QLatin1String("status"), toCborValue(status()));
      break;
    case fleet::QueryKind::Members:
      out.insert(QLatin1String("members"), toCborValue(mLog.membership().members));
      break;
    case fleet::QueryKind::Leases:
      out.insert(QLatin1String("leases"), leaseRows());
      break;
    case fleet::QueryKind::Audit:
      out.insert(QLatin1String("audit"), auditRows(aQuery.filter));
      break;
    default:
      break;
  }
  return out;
}

// Returns an empty list on other members than the leader, because only the leader knows the leases.
QCborArray ControlDuty::leaseRows() const
{
  QCborArray rows;
  if (!mLeader.isLeading()) {
    return rows;
  }
  for (const auto& [id, node] : mState.model().nodes()) {
    if (node.status == wire::NodeStatus::Lost) {
      continue;
    }
    QCborMap row;
    row.insert(QLatin1String("node"), static_cast<qint64>(id));
    row.insert(QLatin1String("status"), toCborValue(node.status));
    row.insert(QLatin1String("lease_left_ms"),
               static_cast<qint64>(toMillis(mLeader.leases().expiry(id) - mNow)));
    row.insert(QLatin1String("revision"), static_cast<qint64>(mLeader.appliedRevision(id)));
    row.insert(QLatin1String("checks_grants"), node.target.checksGrants);
    rows.append(row);
  }
  return rows;
}

// Returns the latest records that contain the text, newest first.
QCborArray ControlDuty::auditRows(const std::string& aFilter) const
{
  QCborArray rows;
  const auto& records = mState.recentAudit();
  for (auto it = records.rbegin(); it != records.rend(); ++it) {
    if (static_cast<std::size_t>(rows.size()) >= kMaxAuditRows) {
      break;
    }
    const bool isMatch = aFilter.empty() || it->object.find(aFilter) != std::string::npos ||
                         it->issuer.find(aFilter) != std::string::npos ||
                         it->kind.find(aFilter) != std::string::npos ||
                         it->commandId.find(aFilter) != std::string::npos;
    if (isMatch) {
      rows.append(toCborValue(*it));
    }
  }
  return rows;
}

ControlStatus ControlDuty::status() const
{
  ControlStatus out;
  out.role = mLog.role() == agreement::Role::Leader ? "leader" : "follower";
  out.leader = mLog.leader();
  out.term = mLog.term();
  out.commitIndex = mLog.commitIndex();
  out.appliedIndex = mAppliedIndex;
  out.operatorRevision = mState.operatorRevision();
  for (const auto& it : mLog.membership().members) {
    out.members.push_back(it.id);
  }
  out.hasFailedStorage = mLog.isStorageFailing();
  return out;
}

} // namespace camphorcleat::daemon
