// Sends one statement to any daemon and waits for the answer.
//
// Every attempt of a statement carries the same command id, so sending it again after a lost answer
// can't apply it twice; QNetworkAccessManager's own resend of a POST is harmless for the same
// reason. The next address is tried after a connection failure, a silent daemon, or an answer that
// says the daemon can't reach the leader or its quorum.

#ifndef CAMPHORCLEAT_CTL_CONTROLCLIENT_H_
#define CAMPHORCLEAT_CTL_CONTROLCLIENT_H_

#include <optional>
#include <string>

#include <QJsonObject>
#include <QNetworkAccessManager>

#include "ctl/CtlSettings.h"

namespace camphorcleat::ctl {

/// Answer of a daemon.
struct Answer
{
  std::string code; ///< Name of an ErrorCode; "none" if the statement was carried out.
  std::string message;
  Revision revision = 0;
  QJsonObject result;
  QJsonObject whole; ///< As received.
};

/// No daemon gave a final answer in time.
struct NoAnswerError
{
  static constexpr ErrorCode kCode = ErrorCode::OutcomeUnknown;
  std::string commandId;
  std::string lastProblem;
  std::string message() const
  {
    return "no answer (" + lastProblem + "); the outcome is unknown; send it again with " +
           "--command-id " + commandId;
  }
};

/// Not thread-safe; needs a QCoreApplication.
class ControlClient
{
public:
  explicit ControlClient(CtlSettings aSettings);

  /// Sends a statement under a command id and waits for at most the timeout of the settings. Fails
  /// with NoAnswerError.
  Result<Answer> send(const std::string& aStatement, const std::string& aCommandId);

private:
  struct Attempt
  {
    std::optional<Answer> answer;
    std::string problem;
  };
  Attempt attempt(const std::string& aAddress, const QByteArray& aBody, Millis aTimeout);
  QByteArray bodyOf(const std::string& aStatement, const std::string& aCommandId) const;

  CtlSettings mSettings;
  QNetworkAccessManager mNetwork;
  std::size_t mNext = 0; ///< Address of the next attempt; stays with one that works.
};

} // namespace camphorcleat::ctl

#endif // CAMPHORCLEAT_CTL_CONTROLCLIENT_H_
