// What is particular to the protocol that callers and targets speak with a daemon.
//
// A dialect translates and decides nothing: which service runs a request, where, when and how often
// is the same for all of them.

#ifndef CAMPHORCLEAT_DAEMON_DIALECT_H_
#define CAMPHORCLEAT_DAEMON_DIALECT_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Errors.h"
#include "base/Time.h"
#include "transport/HttpFrontend.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::daemon {

class DaemonApi;
struct Settings;

/// What a caller's request says beside its method, path and body.
struct CallerMetadata
{
  std::string host;
  std::string accountKey; ///< A secret; empty if there is none.
  std::string key;        ///< For a keyed service that a route names.
  std::string requestId;  ///< The caller's own name for the request.
  std::optional<Millis> deadline;
  std::string idempotencyKey;
  bool isResend = false;
  std::vector<wire::Header> forwarded; ///< Headers that the target gets, too.
};

/// A request that ends without a target's answer.
struct CallerFailure
{
  wire::Outcome outcome = wire::Outcome::Unknown;
  ErrorCode code = ErrorCode::Internal;
  std::string message;
  Millis retryAfter{ 0 }; ///< 0: no advice.
  bool hasIdempotencyKey = false;
};

/// A complete answer to a caller.
struct CallerAnswer
{
  unsigned status = 0;
  std::vector<wire::Header> headers;
  std::string body;
};

/// What the target is told of a request beside its method, path and body.
struct TargetCall
{
  const wire::RequestHead& head;
  std::string instance; ///< Name of the target's process that is meant; may be empty.
  FencingToken token = 0;
  Duration timeLeft{};  ///< Until the deadline.
  Duration leaseLeft{}; ///< Until the daemon's lease ends.
};

/// What the head of a target's response says about the request.
enum class TargetResponseKind
{
  Answer,
  Foreign,    ///< It belongs to an earlier request of the connection.
  Fenced,     ///< Not run: the target has no live grant for it, or is another one.
  Shed,       ///< Not run: the target has no room.
  Unreadable, ///< It may have run, but this is not the target's answer.
};

/// Thread-safe.
class Dialect
{
public:
  Dialect() = default;
  Dialect(const Dialect&) = delete;
  Dialect& operator=(const Dialect&) = delete;
  virtual ~Dialect() = default;

  /// Reads the head of a caller's request.
  virtual CallerMetadata parseCallerMetadata(const transport::CallerStream& aStream) const = 0;

  /// The answer that tells a caller of a failure.
  virtual CallerAnswer failure(const CallerFailure& aFailure) const = 0;

  /// All headers that the target gets, forwarded ones included.
  virtual std::vector<wire::Header> targetHeaders(const TargetCall& aCall) const = 0;

  /// Judges the head of a response to a request.
  virtual TargetResponseKind classifyResponse(const wire::RequestHead& aHead, unsigned aStatus,
                                              const std::vector<wire::Header>& aHeaders) const = 0;

  /// Whether requests find their service by the routes of a configuration only. Otherwise the path
  /// names service and key as long as none was set.
  virtual bool needsConfiguration() const = 0;

  /// Whether the target announces itself by heartbeats, which the dialect's own server takes, and
  /// gets its keys by the answers. Otherwise its health is polled.
  virtual bool hasHeartbeats() const = 0;
};

/// A server of calls that only a dialect knows. start() and stop() are for one thread.
class DialectServer
{
public:
  DialectServer() = default;
  DialectServer(const DialectServer&) = delete;
  DialectServer& operator=(const DialectServer&) = delete;
  virtual ~DialectServer() = default;

  /// Listens. Fails with AddressError.
  virtual Result<void> start() = 0;

  /// Ends all connections. Idempotent.
  virtual void stop() = 0;
};

/// Makes what a dialect consists of.
class DialectFactory
{
public:
  DialectFactory() = default;
  DialectFactory(const DialectFactory&) = delete;
  DialectFactory& operator=(const DialectFactory&) = delete;
  virtual ~DialectFactory() = default;

  virtual std::unique_ptr<Dialect> makeDialect() const = 0;

  /// The server of the dialect's own calls, or nullptr. Both arguments outlive it.
  virtual std::unique_ptr<DialectServer> makeServer(const Settings& aSettings,
                                                    DaemonApi& aApi) const = 0;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_DIALECT_H_
