// Sends a statement to a daemon and waits for the response.
//
// All attempts of a statement use the same command id, so a resend after a lost response can't
// apply it twice. QNetworkAccessManager may resend a POST request by itself, which is safe for the
// same reason. A response with the code not_leader or no_quorum isn't final, because another
// attempt may succeed; every other response is. The client tries the next address after a
// connection failure, a timeout, or a response that isn't final.

#ifndef CAMPHORCLEAT_CTL_CONTROLCLIENT_H_
#define CAMPHORCLEAT_CTL_CONTROLCLIENT_H_

#include <optional>
#include <string>

#include <QJsonObject>
#include <QNetworkAccessManager>

#include "ctl/CtlSettings.h"

namespace camphorcleat::ctl {

/// Response of a daemon to a statement.
struct StatementResponse
{
  std::string code; ///< Name of an ErrorCode; "none" if the statement succeeded.
  std::string message;
  Revision revision = 0;
  QJsonObject result;
  QJsonObject body; ///< The complete response as received.
};

/// No daemon sent a final response within the timeout.
struct NoResponseError
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

/// Client for the operator servers of several daemons. Not thread-safe. Requires a
/// QCoreApplication.
class ControlClient
{
public:
  /// aSettings must contain at least one address.
  explicit ControlClient(CtlSettings aSettings);

  /// Sends a statement with a command id and waits at most the timeout of the settings for a final
  /// response. Runs a nested event loop meanwhile. Fails with NoResponseError.
  Result<StatementResponse> send(const std::string& aStatement, const std::string& aCommandId);

private:
  struct Attempt
  {
    std::optional<StatementResponse> response;
    std::string problem;
  };
  Attempt attempt(const std::string& aAddress, const QByteArray& aBody, Millis aTimeout);
  QByteArray bodyOf(const std::string& aStatement, const std::string& aCommandId) const;

  CtlSettings mSettings;
  QNetworkAccessManager mNetwork;
  std::size_t mNextAddress = 0; ///< Address of the next attempt; unchanged after a final response.
};

} // namespace camphorcleat::ctl

#endif // CAMPHORCLEAT_CTL_CONTROLCLIENT_H_
