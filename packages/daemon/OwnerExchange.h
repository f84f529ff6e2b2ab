// One request at its owner: the bytes between the entry daemon and the target.
//
// Body chunks are checked for order and kept until the target can take them; at most the credit
// that was given to the entry is held. Response chunks leave only against the entry's credit, so a
// slow caller slows the target and memory stays within one window a direction.

#ifndef CAMPHORCLEAT_DAEMON_OWNEREXCHANGE_H_
#define CAMPHORCLEAT_DAEMON_OWNEREXCHANGE_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "daemon/Dialect.h"
#include "traffic/RequestMemory.h"
#include "transport/PeerHub.h"
#include "transport/TargetClient.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::daemon {

/// Bytes that an entry may send before it gets credit: what it keeps for another attempt.
constexpr std::uint64_t kFirstCreditBytes = 64U << 10U;

/// Bytes of a body on their way between two daemons at most.
constexpr std::uint64_t kWindowBytes = 256U << 10U;

/// Largest answer kept for an idempotency key.
constexpr std::size_t kMaxStoredAnswerBytes = 64U << 10U;

class OwnerExchange;

/// What an exchange needs of the owner duty. Owner thread only.
class OwnerExchangeHost
{
public:
  virtual ~OwnerExchangeHost() = default;

  /// Whether the lease still allows a first byte to the target.
  virtual bool mayStartWrite(const OwnerExchange& aExchange) = 0;
  virtual TargetResponseKind classifyResponse(const OwnerExchange& aExchange, unsigned aStatus,
                                              const std::vector<wire::Header>& aHeaders) = 0;
  virtual void responseStarted(OwnerExchange& aExchange, unsigned aStatus, bool aIsShed,
                               bool aIsFenced) = 0;
  /// The exchange with the target is over. Called once after begin().
  virtual void exchangeEnded(OwnerExchange& aExchange, wire::Outcome aOutcome, ErrorCode aCode,
                             std::string aMessage,
                             std::optional<traffic::StoredAnswer> aAnswer) = 0;
  virtual void sendToEntry(OwnerExchange& aExchange, wire::PeerMessage aMessage) = 0;
  /// Wait and run that a next request is to expect; 0 if not known.
  virtual Micros expectedTime() = 0;
};

/// Owner thread only.
class OwnerExchange
  : public transport::TargetHandler
  , public std::enable_shared_from_this<OwnerExchange>
{
public:
  /// The host outlives the exchange.
  OwnerExchange(OwnerExchangeHost& aHost, transport::LinkId aLink, wire::RequestHead aHead);

  const wire::RequestHead& head() const { return mHead; }
  transport::LinkId link() const { return mLink; }

  /// Takes a chunk of the request's body. False if it is out of order or beyond the credit.
  bool addBody(wire::BodyChunk aChunk);

  /// Lets the target send more of the response.
  void addCredit(std::uint64_t aBytes);

  /// Starts the exchange with the target. Call once.
  void begin(transport::TargetClient& aClient, std::vector<wire::Header> aHeaders,
             TimePoint aDeadline);

  bool hasBegun() const { return mHasBegun; }

  /// Ends the exchange with the target, if it runs.
  void cancel();

  // TargetHandler.
  bool mayStartWrite() override;
  bool isAnswer(unsigned aStatus, const std::vector<wire::Header>& aHeaders) override;
  void onWritable() override;
  void onHead(unsigned aStatus, std::vector<wire::Header> aHeaders,
              std::optional<std::uint64_t> aContentLength) override;
  void onBody(std::string aData, bool aIsLast) override;
  void onFailure(bool aMayHaveRun, ErrorCode aCode, std::string aMessage) override;

private:
  void sendNextBody();
  void readWithinCredit();
  void appendStoredBody(const std::string& aData);
  void finish(wire::Outcome aOutcome, ErrorCode aCode, std::string aMessage);
  std::optional<traffic::StoredAnswer> storedAnswer();

  OwnerExchangeHost& mHost;
  transport::LinkId mLink;
  wire::RequestHead mHead;
  std::shared_ptr<transport::TargetExchange> mTarget;
  bool mHasBegun = false;
  bool mHasEnded = false;

  // Request body.
  std::deque<wire::BodyChunk> mBodyChunks;
  std::uint64_t mNextBodyChunk = 0;
  std::uint64_t mReceivedBytes = 0;
  std::uint64_t mCreditedBytes = kFirstCreditBytes;
  bool mIsTargetWaiting = false; // onWritable() came and no chunk was there.

  // Response.
  TargetResponseKind mResponseKind = TargetResponseKind::Answer;
  std::int64_t mResponseCredit = kWindowBytes;
  bool mIsReadDue = false; // A read is due as soon as there is credit.
  std::uint64_t mNextResponseChunk = 0;
  std::uint64_t mResponseBytes = 0;
  unsigned mStatus = 0;
  std::vector<wire::Header> mResponseHeaders;
  std::string mStoredBody;
  bool mIsStorable = false;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_OWNEREXCHANGE_H_
