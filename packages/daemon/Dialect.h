// Interfaces of a dialect: the HTTP protocol that callers, targets and operators use with a daemon.
//
// A dialect translates between HTTP messages and the daemon's types. Routing, scheduling and
// retries are the same for all dialects and are implemented elsewhere.

#ifndef CAMPHORCLEAT_DAEMON_DIALECT_H_
#define CAMPHORCLEAT_DAEMON_DIALECT_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Errors.h"
#include "base/Time.h"
#include "fleet/CallGrants.h"
#include "transport/HttpFrontend.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::daemon {

class DaemonApi;
struct Settings;

/// Metadata of a caller's request, read from its headers.
struct CallerMetadata
{
  std::string host;
  std::string accountKey;              ///< A secret; empty if the request has none.
  std::string key;                     ///< Used if the request's route leads to a keyed service.
  std::string requestId;               ///< The id that the caller assigned, used in logs.
  std::optional<Millis> deadline;      ///< Time left for the request, if the caller sent it.
  std::string idempotencyKey;          ///< Empty if the request has none.
  bool isResend = false;               ///< The caller marked the request as a resend.
  std::vector<wire::Header> forwarded; ///< Headers that are forwarded to the target.
};

/// Describes a request that failed without a response from the target.
struct CallerFailure
{
  wire::Outcome outcome = wire::Outcome::Unknown;
  ErrorCode code = ErrorCode::Internal;
  std::string message;
  Millis retryAfter{ 0 }; ///< 0 if no retry time is suggested.
  bool hasIdempotencyKey = false;
};

/// A complete HTTP response to a caller.
struct CallerResponse
{
  unsigned status = 0;
  std::vector<wire::Header> headers;
  std::string body;
};

/// Input for the headers of a request to the target.
struct TargetCall
{
  const wire::RequestHead& head;
  std::string instance;   ///< Id of the target process that the request is for; may be empty.
  FencingToken token = 0; ///< 0 for an unkeyed service.
  Duration timeLeft{};    ///< Time until the request's deadline.
  Duration leaseLeft{};   ///< Time until the daemon's lease expires.
};

/// Classification of a target's response by its status and headers.
enum class TargetResponseKind
{
  Ran,   ///< The target ran the request, and this is its response.
  Stale, ///< The response belongs to an earlier request on the connection.
  /// The request was not run: the target has no valid grant for the partition, or the process is
  /// not the one that the request is for.
  Fenced,
  Shed,       ///< The request was not run, because the target is overloaded.
  Unreadable, ///< The response is not from the target, so it is unknown whether the request ran.
};

/// An order to the target as an HTTP request.
struct OrderRequest
{
  std::string path;
  std::vector<wire::Header> headers;
  std::string body;
};

/// The target's response to an order.
struct OrderResponse
{
  fleet::OrderOutcome outcome = fleet::OrderOutcome::Unknown;
  std::string handover; ///< Of a release; empty if the target sent none.
  std::string reason;   ///< Why the outcome isn't Done.
};

/// The HTTP form of the orders to targets that are granted keys by calls. Thread-safe.
class OrderProtocol
{
public:
  OrderProtocol() = default;
  OrderProtocol(const OrderProtocol&) = delete;
  OrderProtocol& operator=(const OrderProtocol&) = delete;
  virtual ~OrderProtocol() = default;

  /// Returns the request, which is sent by POST.
  virtual OrderRequest requestOf(const fleet::TargetOrder& aOrder) const = 0;

  /// Classifies a complete response to an order. A response that no target sends has the outcome
  /// Unknown.
  virtual OrderResponse classify(fleet::OrderKind aKind, unsigned aStatus,
                                 const std::vector<wire::Header>& aHeaders) const = 0;
};

/// Thread-safe.
class Dialect
{
public:
  Dialect() = default;
  Dialect(const Dialect&) = delete;
  Dialect& operator=(const Dialect&) = delete;
  virtual ~Dialect() = default;

  /// Reads the metadata from the headers of a caller's request.
  virtual CallerMetadata parseCallerMetadata(const transport::CallerStream& aStream) const = 0;

  /// Returns the response that reports a failure to the caller.
  virtual CallerResponse failure(const CallerFailure& aFailure) const = 0;

  /// Returns all headers of the request to the target, including the forwarded ones.
  virtual std::vector<wire::Header> targetHeaders(const TargetCall& aCall) const = 0;

  /// Classifies a target's response to a request.
  virtual TargetResponseKind classifyResponse(const wire::RequestHead& aHead, unsigned aStatus,
                                              const std::vector<wire::Header>& aHeaders) const = 0;

  /// Returns whether a response that isn't Stale names the request that it belongs to. Otherwise
  /// its connection isn't used again, because a late copy of it would be taken for the response to
  /// the next request.
  virtual bool namesRequest(const wire::RequestHead& aHead,
                            const std::vector<wire::Header>& aHeaders) const = 0;

  /// Reads from the headers of a health response for how long the target stays cold; zero: it is
  /// warm. Returns no value if they don't say so for the process aInstance.
  virtual std::optional<Millis> parseColdTime(const std::vector<wire::Header>& /*aHeaders*/,
                                              const std::string& /*aInstance*/) const
  {
    return std::nullopt;
  }

  /// Returns whether requests are routed only by a configuration and are refused until one is set.
  /// If false, the path contains the service and the key until a configuration is set.
  virtual bool needsConfiguration() const = 0;

  /// Returns whether the target sends heartbeats to the dialect's server and receives its key
  /// grants in the responses or by calls. If false, the daemon polls the target's health.
  virtual bool hasHeartbeats() const = 0;

  /// Returns the form of orders to targets, or nullptr if the dialect has none. The object lives as
  /// long as the dialect.
  virtual const OrderProtocol* orderProtocol() const { return nullptr; }
};

/// Serves the HTTP calls that are specific to a dialect. Call start() and stop() from one thread.
class DialectServer
{
public:
  DialectServer() = default;
  DialectServer(const DialectServer&) = delete;
  DialectServer& operator=(const DialectServer&) = delete;
  virtual ~DialectServer() = default;

  /// Starts to listen. Fails with AddressError if the address can't be bound.
  virtual Result<void> start() = 0;

  /// Closes the listener and all connections. Idempotent.
  virtual void stop() = 0;
};

/// Creates the objects of a dialect.
class DialectFactory
{
public:
  DialectFactory() = default;
  DialectFactory(const DialectFactory&) = delete;
  DialectFactory& operator=(const DialectFactory&) = delete;
  virtual ~DialectFactory() = default;

  virtual std::unique_ptr<Dialect> makeDialect() const = 0;

  /// Returns the server of the dialect's own calls, or nullptr if it has none. Both arguments must
  /// outlive the server.
  virtual std::unique_ptr<DialectServer> makeServer(const Settings& aSettings,
                                                    DaemonApi& aApi) const = 0;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_DIALECT_H_
