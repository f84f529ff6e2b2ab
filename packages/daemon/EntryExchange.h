// One caller's request at its entry daemon: its body, its attempts and its response.
//
// EntryRequest decides about attempts; this class transfers the data. The first 64 KiB of the body
// are buffered so that they can be sent again with another attempt. The remainder is read from the
// caller only as far as the owner has granted credit, which limits memory to one window. Once data
// beyond the buffer was read, no further attempt is possible.

#ifndef CAMPHORCLEAT_DAEMON_ENTRYEXCHANGE_H_
#define CAMPHORCLEAT_DAEMON_ENTRYEXCHANGE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "daemon/Dialect.h"
#include "traffic/EntryRequest.h"
#include "transport/HttpFrontend.h"
#include "transport/PeerHub.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::daemon {

class EntryExchange;

/// Interface of the entry duty that an exchange uses. Entry thread only.
class EntryExchangeHost
{
public:
  virtual ~EntryExchangeHost() = default;

  /// Selects the route of the next attempt; its node is kNoNode if there is none, and nothing may
  /// be sent if isOutOfService is set. An unkeyed request is not sent to a node in aExcluded.
  /// aNeedsNewerView is true if the previous attempt was refused by a node that no longer owns the
  /// key.
  virtual traffic::RouteKnown selectRoute(const EntryExchange& aExchange,
                                          const std::vector<NodeId>& aExcluded,
                                          bool aNeedsNewerView) = 0;
  /// Calls viewChanged() of the exchange once, when the view changes.
  virtual void awaitView(const std::shared_ptr<EntryExchange>& aExchange) = 0;
  /// Registers an attempt and returns its id. Messages with this id are passed to the exchange.
  virtual RequestId newAttempt(const std::shared_ptr<EntryExchange>& aExchange, NodeId aNode) = 0;
  /// Sends a message to a node.
  virtual transport::SendResult sendTo(NodeId aNode, wire::PeerMessage aMessage) = 0;
  /// Sends a message on an existing connection.
  virtual transport::SendStatus replyTo(transport::LinkId aLink, wire::PeerMessage aMessage) = 0;
  /// Reports that a second attempt starts in parallel because this one is slow.
  virtual void attemptHedged(const RequestId& aId) = 0;
  /// Removes an attempt. Further messages with this id are ignored. aHasCompleteResponse: the
  /// caller got the complete response of this attempt.
  virtual void attemptEnded(const RequestId& aId, bool aHasCompleteResponse) = 0;
  /// Reports the end of the exchange; aCode is None if the caller got a complete response.
  virtual void exchangeFinished(EntryExchange& aExchange, ErrorCode aCode) = 0;
  /// Returns the dialect of the callers.
  virtual const Dialect& dialect() const = 0;
};

/// Sends a failure response in the caller's dialect.
void sendFailure(const Dialect& aDialect, transport::CallerStream& aStream,
                 const CallerFailure& aFailure);

/// The retry and deadline policy of a request, set at admission.
struct ExchangePlan
{
  bool isKeyed = false;
  TimePoint deadline;
  std::uint32_t maxRuns = 0; ///< Limit of attempts that may have run; 0 for no limit.
  bool mayHedge = true;      ///< Whether a slow attempt may get a second one in parallel.
  /// Until when the request waits for a new owner of its key.
  TimePoint bridgeUntil = TimePoint::max();
  /// Until when the request waits after the connection to its owner was lost.
  TimePoint lossBridgeUntil = TimePoint::max();
  /// Whether an unkeyed request fails at once if no target has capacity for it. Otherwise it is
  /// retried until its deadline.
  bool failsWithoutCapacity = false;
  /// See traffic::WithdrawalDue.
  TimePoint withdrawAt = TimePoint::max();
};

/// Entry thread only.
class EntryExchange : public std::enable_shared_from_this<EntryExchange>
{
public:
  /// aHead is the template for the head of each attempt. The host must outlive the exchange.
  EntryExchange(EntryExchangeHost& aHost, boost::asio::io_context& aIo,
                std::shared_ptr<transport::CallerStream> aStream, wire::RequestHead aHead,
                const ExchangePlan& aPlan, const traffic::EntryShared& aShared);

  const wire::RequestHead& head() const { return mHead; }
  bool isKeyed() const { return mPlan.isKeyed; }
  TimePoint startedAt() const { return mStartedAt; }
  /// Returns whether an attempt is at an owner.
  bool isAtOwner() const { return !mAttempts.empty(); }

  /// Buffers the beginning of the body, then starts the first attempt. Call once.
  void start();

  // Handle a message from the owner for the attempt with this id.
  void handle(const RequestId& aId, wire::ResponseHead aHead);
  void handle(const RequestId& aId, wire::BodyChunk aChunk);
  void handle(const RequestId& aId, const wire::Credit& aCredit);
  void handle(const RequestId& aId, const wire::RequestFailed& aFailed);

  /// Handles the silence of the connection that an attempt uses. A request that may be repeated is
  /// sent on another one; any other waits, since its target may be at work on it.
  void linkSilent(const RequestId& aId);

  /// Handles the loss of the connection that an attempt uses.
  void linkLost(const RequestId& aId, bool aIsNotRun);

  /// Handles a change of the view, after EntryExchangeHost::awaitView().
  void viewChanged();

  /// Returns until when the request may be open: the owner reports its outcome by then.
  TimePoint endsBy() const;

  /// Ends the request unless its response has begun: as not run, or with an unknown outcome if it
  /// is at an owner.
  void end();

  /// Withdraws the request at this time unless it has started at a target by then.
  void withdrawAt(TimePoint aTime);

  /// Returns the connection that an attempt uses, or nullopt if the attempt has ended.
  std::optional<transport::LinkId> linkOf(const RequestId& aId) const;

private:
  struct Attempt
  {
    unsigned number = 0;
    transport::LinkId link = 0;
    NodeId node = kNoNode;
    TimePoint sentAt;
    std::uint64_t nextBodyChunk = 0;
    std::uint64_t bodyCredit = 0;
    std::uint64_t nextResponseChunk = 0;
    std::uint64_t responseBytes = 0;
    std::optional<wire::ResponseHead> response;
  };

  void readBufferedBody();
  void onBufferedBodyRead(transport::BodyPart aPart);
  void makeFirstAttempt();

  void step(const traffic::EntryEvent& aEvent);
  void perform(const traffic::EntryAction& aAction);
  void lookUpRoute(const traffic::LookUpRoute& aLookUp);
  void startAttempt(const traffic::StartAttempt& aStart);
  void failAttempt(const RequestId& aId, wire::Outcome aOutcome, std::string aMessage);
  void cancelAttempt(unsigned aNumber);
  void withdrawAttempt(unsigned aNumber);
  void forwardResponse(unsigned aNumber);
  void setTimer(TimePoint aWhen);
  void sendBufferedBody(const RequestId& aId, Attempt& aAttempt);
  void sendChunk(RequestId aId, transport::LinkId aLink, wire::BodyChunk aChunk);
  void pumpBody();
  void onBodyRead(transport::BodyPart aPart);
  void sendWithinCredit();
  void sendBodyChunk(std::string aData, bool aIsLast);

  void fail(wire::Outcome aOutcome, ErrorCode aCode, const std::string& aMessage,
            Millis aRetryAfter);
  void truncateResponse(const std::string& aReason);
  void onCallerDisconnected();
  void finish(ErrorCode aCode);
  std::map<RequestId, Attempt>::iterator findAttempt(unsigned aNumber);

  EntryExchangeHost& mHost;
  std::shared_ptr<transport::CallerStream> mStream;
  wire::RequestHead mHead;
  ExchangePlan mPlan;
  TimePoint mStartedAt;
  traffic::EntryRequest mLogic;
  boost::asio::steady_timer mTimer;
  std::map<RequestId, Attempt> mAttempts;
  std::optional<RequestId> mForwardedAttempt; // The attempt whose response goes to the caller.
  bool mIsFinished = false;
  bool mMayHaveRun = false; // An earlier attempt may have run.

  // Request body.
  std::string mBufferedBody;
  bool mIsBodyBuffered = false;     // mBufferedBody is the whole body.
  bool mIsBodyUnrepeatable = false; // Data beyond mBufferedBody was read.
  bool mIsReadingBody = false;
  bool mIsBodySent = false; // The last chunk was sent with the current attempt.
  std::uint64_t mBodyBytes = 0;
  std::string mUnsentBody;    // Read from the caller, waiting for credit; at most two reads.
  bool mIsUnsentLast = false; // The body ends with mUnsentBody.
  std::optional<RequestId> mBodyAttempt; // The attempt that the body is sent to.
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_ENTRYEXCHANGE_H_
