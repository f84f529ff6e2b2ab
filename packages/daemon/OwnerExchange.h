// One request at its owner: transfers the bodies between the entry daemon and the target.
//
// Chunks of the request body are checked for order and buffered until the target accepts them. The
// buffer never exceeds the credit granted to the entry. Response chunks are sent only within the
// entry's credit, so a slow caller causes backpressure on the target, and memory is limited to one
// window in each direction.

#ifndef CAMPHORCLEAT_DAEMON_OWNEREXCHANGE_H_
#define CAMPHORCLEAT_DAEMON_OWNEREXCHANGE_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "daemon/Dialect.h"
#include "traffic/IdempotencyStore.h"
#include "transport/PeerHub.h"
#include "transport/TargetClient.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::daemon {

/// Bytes of a body that an entry sends with the head, before the owner has accepted the request.
/// The rest of a refused request's body would take bandwidth from other requests and cancellations.
constexpr std::uint64_t kUnsolicitedBytes = 4U << 10U;

/// Bytes of a body that an owner takes before its target reads them. The entry buffers as much for
/// retries.
constexpr std::uint64_t kFirstCreditBytes = 64U << 10U;

/// Largest number of unacknowledged body bytes between two daemons.
constexpr std::uint64_t kWindowBytes = 256U << 10U;

/// Largest response body that is stored for an idempotency key.
constexpr std::size_t kMaxStoredResponseBytes = 64U << 10U;

class OwnerExchange;

/// Interface of the owner duty that an exchange uses. Owner thread only.
class OwnerExchangeHost
{
public:
  virtual ~OwnerExchangeHost() = default;

  /// Returns whether the lease and the grant allow the request to be sent to the target now.
  virtual bool mayStartWrite(const OwnerExchange& aExchange) = 0;
  /// Classifies the target's response by its status and headers.
  virtual TargetResponseKind classifyResponse(const OwnerExchange& aExchange, unsigned aStatus,
                                              const std::vector<wire::Header>& aHeaders) = 0;
  /// Returns whether the target's response names the request.
  virtual bool namesRequest(const OwnerExchange& aExchange,
                            const std::vector<wire::Header>& aHeaders) = 0;
  /// Reports that the head of the response has arrived.
  virtual void responseStarted(OwnerExchange& aExchange, unsigned aStatus, bool aIsShed,
                               bool aIsFenced) = 0;
  /// Reports the end of the exchange with the target. Called once after begin().
  virtual void exchangeEnded(OwnerExchange& aExchange, wire::Outcome aOutcome, ErrorCode aCode,
                             std::string aMessage,
                             std::optional<traffic::StoredResponse> aResponse) = 0;
  /// Asks for aBytes more of the request's body. The entry may send them when it gets the credit,
  /// which it does when the link has room for them.
  virtual void askForBody(OwnerExchange& aExchange, std::uint64_t aBytes) = 0;
  /// Reports that bytes of the body have arrived that were asked for. aIsLast: no more will.
  virtual void bodyReceived(OwnerExchange& aExchange, std::uint64_t aBytes, bool aIsLast) = 0;
  /// Sends a message to the entry of the request.
  virtual void sendToEntry(OwnerExchange& aExchange, wire::PeerMessage aMessage) = 0;
  /// Returns the expected queueing and run time of a new request; 0 if unknown.
  virtual Micros expectedTime() = 0;
};

/// Owner thread only.
class OwnerExchange
  : public transport::TargetHandler
  , public std::enable_shared_from_this<OwnerExchange>
{
public:
  /// The host must outlive the exchange.
  OwnerExchange(OwnerExchangeHost& aHost, transport::LinkId aLink, wire::RequestHead aHead);

  const wire::RequestHead& head() const { return mHead; }
  void setPartition(PartitionId aPartition) { mHead.partition = aPartition; }
  /// Assigns the request to another account, which has the caller's account key now.
  void setAccount(const wire::Account& aAccount);
  transport::LinkId link() const { return mLink; }

  /// Returns how long the request waited on its way from the entry, as set by setWaitingTime().
  Duration waitingTime() const { return mWaitingTime; }
  void setWaitingTime(Duration aTime) { mWaitingTime = aTime; }

  TimePoint arrivedAt() const { return mArrivedAt; }

  /// Returns when the entry sent the request, on this daemon's clock.
  TimePoint sentAt() const { return mArrivedAt - mWaitingTime; }

  /// Asks for the body up to kFirstCreditBytes. Call when the request is accepted.
  void askForFirstBytes();

  /// Adds a chunk of the request body. Returns false if it is out of order, exceeds the credit or
  /// has a wrong total.
  bool addBody(wire::BodyChunk aChunk);

  /// Adds credit for the response body, up to a total of kWindowBytes.
  void addCredit(std::uint64_t aBytes);

  /// Sends the request to the target. Fails if it has not ended by aDeadline. Call once.
  void begin(transport::TargetClient& aClient, std::vector<wire::Header> aHeaders,
             TimePoint aDeadline);

  bool hasBegun() const { return mHasBegun; }

  /// Returns whether the head of the target's response has arrived.
  bool hasResponse() const { return mStatus != 0; }

  /// Cancels the exchange with the target if it is running.
  void cancel();

  // Overrides of TargetHandler.
  bool mayStartWrite() override;
  bool matchesRequest(unsigned aStatus, const std::vector<wire::Header>& aHeaders) override;
  void onWritable() override;
  void onHead(unsigned aStatus, std::vector<wire::Header> aHeaders,
              std::optional<std::uint64_t> aContentLength) override;
  void onBody(std::string aData, bool aIsLast) override;
  void onFailure(bool aMayHaveRun, ErrorCode aCode, std::string aMessage) override;

private:
  void sendNextBodyChunk();
  void readWithinCredit();
  void appendStoredBody(const std::string& aData);
  void finish(wire::Outcome aOutcome, ErrorCode aCode, std::string aMessage);
  std::optional<traffic::StoredResponse> storedResponse();

  OwnerExchangeHost& mHost;
  transport::LinkId mLink;
  Duration mWaitingTime{ 0 };
  TimePoint mArrivedAt = Clock::now();
  wire::RequestHead mHead;
  std::shared_ptr<transport::TargetExchange> mTarget;
  bool mHasBegun = false;
  bool mHasEnded = false;

  // Request body.
  std::deque<wire::BodyChunk> mBodyChunks;
  std::uint64_t mNextBodyChunk = 0;
  std::uint64_t mReceivedBytes = 0;
  bool mIsBodyComplete = false;
  std::uint64_t mAskedBytes = kFirstCreditBytes; // Including those that the entry sends unasked.
  bool mIsTargetWaiting = false; // onWritable() was called while no chunk was buffered.

  // Response.
  TargetResponseKind mResponseKind = TargetResponseKind::Ran;
  std::int64_t mResponseCredit = kWindowBytes;
  bool mIsReadDue = false; // Read from the target as soon as there is credit.
  std::uint64_t mNextResponseChunk = 0;
  std::uint64_t mResponseBytes = 0;
  unsigned mStatus = 0;
  std::vector<wire::Header> mResponseHeaders;
  std::string mStoredBody;
  bool mIsStorable = false;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_OWNEREXCHANGE_H_
