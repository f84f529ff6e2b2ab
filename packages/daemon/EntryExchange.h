// One caller's request at its entry daemon: its body, its attempts and its answer.
//
// EntryRequest decides about attempts; this class keeps the bytes. Up to 64 KiB of the body are
// kept for another attempt. What lies beyond is read from the caller only against the owner's
// credit, so memory stays within one window; a body that went past the kept part can't be sent
// again.

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

/// What an exchange needs of the entry duty. Entry thread only.
class EntryExchangeHost
{
public:
  virtual ~EntryExchangeHost() = default;

  /// The node to try next, or kNoNode. aNeedsNewerView: the last try was refused by a node that no
  /// longer owns the key.
  virtual NodeId selectNode(const EntryExchange& aExchange, const std::vector<NodeId>& aExcluded,
                            bool aNeedsNewerView) = 0;
  /// A new id for an attempt; messages with it come to this exchange from now on.
  virtual RequestId newAttempt(const std::shared_ptr<EntryExchange>& aExchange, NodeId aNode) = 0;
  virtual transport::SendResult sendTo(NodeId aNode, wire::PeerMessage aMessage) = 0;
  virtual transport::SendStatus replyTo(transport::LinkId aLink, wire::PeerMessage aMessage) = 0;
  /// An attempt has taken so long that a second one is made beside it.
  virtual void attemptHedged(const RequestId& aId) = 0;
  /// Messages with this id are ignored from now on.
  virtual void attemptEnded(const RequestId& aId, bool aWasAnswered) = 0;
  /// The exchange is over; None: answered.
  virtual void exchangeFinished(EntryExchange& aExchange, ErrorCode aCode) = 0;
  /// What the caller speaks.
  virtual const Dialect& dialect() const = 0;
};

/// Answers a request with a failure, in the caller's dialect.
void sendFailure(const Dialect& aDialect, transport::CallerStream& aStream,
                 const CallerFailure& aFailure);

/// What the entry decided about a request before its first attempt.
struct ExchangePlan
{
  bool isKeyed = false;
  TimePoint deadline;
  std::uint32_t maxRuns = 0; ///< Attempts that may have run; 0: no limit.
  bool mayHedge = true;
  TimePoint bridgeUntil = TimePoint::max();
  TimePoint lossBridgeUntil = TimePoint::max();
  bool failsWithoutRoom = false;
};

/// Entry thread only.
class EntryExchange : public std::enable_shared_from_this<EntryExchange>
{
public:
  /// aHead is the head of every attempt but for its id. The host outlives the exchange.
  EntryExchange(EntryExchangeHost& aHost, boost::asio::io_context& aIo,
                std::shared_ptr<transport::CallerStream> aStream, wire::RequestHead aHead,
                const ExchangePlan& aPlan, const traffic::EntryShared& aShared);

  const wire::RequestHead& head() const { return mHead; }
  bool isKeyed() const { return mPlan.isKeyed; }
  TimePoint startedAt() const { return mStartedAt; }

  /// Reads the kept part of the body, then makes the first attempt.
  void start();

  // Messages for one of its attempts.
  void handle(const RequestId& aId, wire::ResponseHead aHead);
  void handle(const RequestId& aId, wire::BodyChunk aChunk);
  void handle(const RequestId& aId, const wire::Credit& aCredit);
  void handle(const RequestId& aId, const wire::RequestFailed& aFailed);

  /// The connection of an attempt is gone.
  void linkLost(const RequestId& aId, bool aNeverOpened);

  /// The connection that an attempt uses.
  std::optional<transport::LinkId> linkOf(const RequestId& aId) const;

private:
  struct Attempt
  {
    unsigned number = 0;
    transport::LinkId link = 0;
    NodeId node = kNoNode;
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
  void requestRoute(const traffic::AskRoute& aAsk);
  void startAttempt(const traffic::StartAttempt& aStart);
  void cancelAttempt(unsigned aNumber);
  void forwardAttempt(unsigned aNumber);
  void setTimer(TimePoint aWhen);
  void sendBufferedBody(const RequestId& aId, Attempt& aAttempt);
  void sendChunk(RequestId aId, transport::LinkId aLink, wire::BodyChunk aChunk);
  void pumpBody();
  void onBodyRead(transport::BodyPart aPart);
  void sendWithinCredit();
  void sendBodyChunk(std::string aData, bool aIsLast);

  void fail(wire::Outcome aOutcome, ErrorCode aCode, const std::string& aMessage,
            Millis aRetryAfter);
  void truncateAnswer(const std::string& aReason);
  void onCallerGone();
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
  std::optional<RequestId> mForwarded; // The attempt whose answer the caller gets.
  bool mIsFinished = false;
  bool mMayHaveRun = false; // An attempt was given to a connection and not denied.

  // Body.
  std::string mBufferedBody;
  bool mIsBodyBuffered = false;     // The kept part is the whole body.
  bool mIsBodyUnrepeatable = false; // Parts beyond the kept one were sent with an earlier attempt.
  bool mIsReadingBody = false;
  bool mIsBodySent = false; // The last part was sent with the current attempt.
  std::uint64_t mBodyBytes = 0;
  std::string mUnsentBody; // Read from the caller and not yet covered by credit; at most two parts.
  bool mIsUnsentLast = false;            // The body ends with mUnsentBody.
  std::optional<RequestId> mBodyAttempt; // The attempt that gets what lies beyond the kept part.
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_ENTRYEXCHANGE_H_
