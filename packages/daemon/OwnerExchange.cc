// Flow control and completion of an exchange with the target.

#include "daemon/OwnerExchange.h"

#include <algorithm>

namespace camphorcleat::daemon {

OwnerExchange::OwnerExchange(OwnerExchangeHost& aHost, transport::LinkId aLink,
                             wire::RequestHead aHead)
  : mHost(aHost)
  , mLink(aLink)
  , mHead(std::move(aHead))
  , mIsStorable(!mHead.idempotencyKey.empty())
{
}

void OwnerExchange::setAccount(const wire::Account& aAccount)
{
  mHead.account = aAccount.name;
  mHead.priority = aAccount.priority.value_or(mHead.priority);
}

void OwnerExchange::askForFirstBytes()
{
  const std::uint64_t wanted =
    std::min(kFirstCreditBytes, mHead.contentLength.value_or(kFirstCreditBytes));
  if (mHead.hasBody && mHead.awaitsBodyCredit && wanted > kUnsolicitedBytes) {
    mHost.askForBody(*this, wanted - kUnsolicitedBytes);
  }
}

bool OwnerExchange::addBody(wire::BodyChunk aChunk)
{
  mReceivedBytes += aChunk.data.size();
  const bool isInOrder = mHead.hasBody && aChunk.sequence == mNextBodyChunk;
  const bool hasCorrectTotal = !aChunk.isLast || aChunk.totalBytes == mReceivedBytes;
  if (!isInOrder || !hasCorrectTotal || mReceivedBytes > mAskedBytes) {
    return false;
  }
  mIsBodyComplete = aChunk.isLast;
  const bool wasUnsolicited = aChunk.sequence == 0;
  mHost.bodyReceived(*this, wasUnsolicited ? 0 : aChunk.data.size(), aChunk.isLast);
  ++mNextBodyChunk;
  mBodyChunks.push_back(std::move(aChunk));
  if (mIsTargetWaiting) {
    sendNextBodyChunk();
  }
  return true;
}

void OwnerExchange::begin(transport::TargetClient& aClient, std::vector<wire::Header> aHeaders,
                          TimePoint aDeadline)
{
  mHasBegun = true;
  transport::TargetRequest request;
  request.method = mHead.method;
  request.path = mHead.path;
  request.headers = std::move(aHeaders);
  request.contentLength = mHead.hasBody ? mHead.contentLength : std::optional<std::uint64_t>(0);
  mTarget = aClient.start(std::move(request), shared_from_this(), aDeadline);
}

void OwnerExchange::cancel()
{
  if (mTarget && !mHasEnded) {
    mTarget->cancel();
  }
}

bool OwnerExchange::mayStartWrite()
{
  return mHost.mayStartWrite(*this);
}

bool OwnerExchange::matchesRequest(unsigned aStatus, const std::vector<wire::Header>& aHeaders)
{
  mResponseKind = mHost.classifyResponse(*this, aStatus, aHeaders);
  return mResponseKind != TargetResponseKind::Stale;
}

void OwnerExchange::onWritable()
{
  mIsTargetWaiting = true;
  sendNextBodyChunk();
}

void OwnerExchange::sendNextBodyChunk()
{
  if (mBodyChunks.empty()) {
    return;
  }
  mIsTargetWaiting = false;
  wire::BodyChunk chunk = std::move(mBodyChunks.front());
  mBodyChunks.pop_front();
  // Asks for up to one window beyond the received bytes. The first time raises the initial credit
  // to the full window.
  const std::uint64_t wanted = mHead.contentLength
                                 ? std::min(mReceivedBytes + kWindowBytes, *mHead.contentLength)
                                 : mReceivedBytes + kWindowBytes;
  if (!mIsBodyComplete && wanted > mAskedBytes) {
    const std::uint64_t more = wanted - mAskedBytes;
    mAskedBytes = wanted;
    mHost.askForBody(*this, more);
  }
  mTarget->sendBody(std::move(chunk.data.data), chunk.isLast);
}

void OwnerExchange::onHead(unsigned aStatus, std::vector<wire::Header> aHeaders,
                           std::optional<std::uint64_t> /*aContentLength*/)
{
  if (mResponseKind == TargetResponseKind::Unreadable) {
    finish(wire::Outcome::Unknown, ErrorCode::OutcomeUnknown,
           "the response was not written by the target");
    mTarget->cancel();
    return;
  }
  mStatus = aStatus;
  const bool isNamed = mHost.namesRequest(*this, aHeaders);
  mHost.responseStarted(*this, aStatus, mResponseKind == TargetResponseKind::Shed,
                        mResponseKind == TargetResponseKind::Fenced);
  if (mResponseKind == TargetResponseKind::Ran) {
    mResponseHeaders = aHeaders;
    mHost.sendToEntry(
      *this, wire::ResponseHead{ mHead.id, aStatus, std::move(aHeaders), mHost.expectedTime(),
                                 std::chrono::duration_cast<Micros>(timeSinceBoot()) });
  }
  // A late copy of this response must not be taken for that to another sending on this connection.
  // It would be if the response doesn't name its request, or if the same request is sent again.
  if (!isNamed || mResponseKind != TargetResponseKind::Ran) {
    mTarget->closeAfterResponse();
  }
  mIsReadDue = true;
  readWithinCredit();
}

void OwnerExchange::addCredit(std::uint64_t aBytes)
{
  mResponseCredit =
    std::min<std::int64_t>(mResponseCredit + static_cast<std::int64_t>(aBytes), kWindowBytes);
  readWithinCredit();
}

void OwnerExchange::readWithinCredit()
{
  if (mIsReadDue && mResponseCredit > 0 && mTarget && !mHasEnded) {
    mIsReadDue = false;
    mTarget->readMore();
  }
}

void OwnerExchange::appendStoredBody(const std::string& aData)
{
  if (!mIsStorable) {
    return;
  }
  mStoredBody += aData;
  if (mStoredBody.size() > kMaxStoredResponseBytes) {
    mIsStorable = false;
    mStoredBody = std::string();
  }
}

void OwnerExchange::onBody(std::string aData, bool aIsLast)
{
  if (mResponseKind != TargetResponseKind::Ran) {
    if (aIsLast) {
      const bool isFenced = mResponseKind == TargetResponseKind::Fenced;
      finish(wire::Outcome::NotRun, isFenced ? ErrorCode::TargetFenced : ErrorCode::TargetShed,
             isFenced ? "the target refused an expired grant" : "the target is shedding load");
      return;
    }
    mIsReadDue = true;
    readWithinCredit();
    return;
  }
  appendStoredBody(aData);
  mResponseCredit -= static_cast<std::int64_t>(aData.size());
  mResponseBytes += aData.size();
  wire::BodyChunk chunk;
  chunk.id = mHead.id;
  chunk.direction = wire::Direction::ToCaller;
  chunk.sequence = mNextResponseChunk++;
  chunk.isLast = aIsLast;
  chunk.totalBytes = mResponseBytes;
  chunk.data.data = std::move(aData);
  mHost.sendToEntry(*this, std::move(chunk));
  if (aIsLast) {
    finish(wire::Outcome::Answered, ErrorCode::None, "");
    return;
  }
  mIsReadDue = true;
  readWithinCredit();
}

void OwnerExchange::onFailure(bool aMayHaveRun, ErrorCode aCode, std::string aMessage)
{
  finish(aMayHaveRun ? wire::Outcome::Unknown : wire::Outcome::NotRun, aCode, std::move(aMessage));
}

std::optional<traffic::StoredResponse> OwnerExchange::storedResponse()
{
  if (!mIsStorable || mStatus == 0) {
    return std::nullopt;
  }
  return traffic::StoredResponse{ mStatus, mResponseHeaders, Bytes(std::move(mStoredBody)) };
}

void OwnerExchange::finish(wire::Outcome aOutcome, ErrorCode aCode, std::string aMessage)
{
  if (mHasEnded) {
    return;
  }
  mHasEnded = true;
  const auto self = shared_from_this(); // The host releases the exchange in the call.
  auto response = aOutcome == wire::Outcome::Answered ? storedResponse() : std::nullopt;
  mHost.exchangeEnded(*this, aOutcome, aCode, std::move(aMessage), std::move(response));
}

} // namespace camphorcleat::daemon
