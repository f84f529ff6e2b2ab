// Lifecycle of one caller's request at the entry.

#include "daemon/EntryExchange.h"

#include <algorithm>

#include "base/Hash.h"
#include "base/Log.h"
#include "daemon/OwnerExchange.h"
#include "transport/HttpHeaders.h"

namespace camphorcleat::daemon {

void sendFailure(const Dialect& aDialect, transport::CallerStream& aStream,
                 const CallerFailure& aFailure)
{
  CallerResponse response = aDialect.failure(aFailure);
  aStream.sendResponse(response.status, std::move(response.headers), std::move(response.body));
}

EntryExchange::EntryExchange(EntryExchangeHost& aHost, boost::asio::io_context& aIo,
                             std::shared_ptr<transport::CallerStream> aStream,
                             wire::RequestHead aHead, const ExchangePlan& aPlan,
                             const traffic::EntryShared& aShared)
  : mHost(aHost)
  , mStream(std::move(aStream))
  , mHead(std::move(aHead))
  , mPlan(aPlan)
  , mStartedAt(Clock::now())
  , mLogic(aShared)
  , mTimer(aIo)
{
}

void EntryExchange::start()
{
  mStream->onDisconnect([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->onCallerDisconnected();
    }
  });
  mHead.contentLength = mStream->contentLength();
  mHead.hasBody = mHead.contentLength != std::optional<std::uint64_t>(0);
  if (mHead.hasBody) {
    readBufferedBody();
  } else {
    mIsBodyBuffered = true;
    makeFirstAttempt();
  }
}

void EntryExchange::readBufferedBody()
{
  mStream->readBody([self = shared_from_this()](transport::BodyPart aPart) {
    self->onBufferedBodyRead(std::move(aPart));
  });
}

void EntryExchange::onBufferedBodyRead(transport::BodyPart aPart)
{
  if (mIsFinished) {
    return;
  }
  if (aPart.error) {
    fail(wire::Outcome::NotRun, *aPart.error, "the request body could not be read", Millis(0));
    return;
  }
  mBufferedBody += aPart.data;
  mIsBodyBuffered = aPart.isLast;
  if (!mIsBodyBuffered && mBufferedBody.size() < kFirstCreditBytes) {
    readBufferedBody();
    return;
  }
  if (mIsBodyBuffered) {
    if (!mHead.idempotencyKey.empty()) {
      mHead.bodyDigest = sha256Hex(mBufferedBody);
    }
    mHead.contentLength = mBufferedBody.size();
  }
  makeFirstAttempt();
}

void EntryExchange::makeFirstAttempt()
{
  traffic::Started started;
  started.isKeyed = mPlan.isKeyed;
  started.isIdempotent = mHead.isIdempotent;
  started.maxRuns = mPlan.maxRuns;
  started.mayHedge = mPlan.mayHedge;
  started.bridgeUntil = mPlan.bridgeUntil;
  started.lossBridgeUntil = mPlan.lossBridgeUntil;
  started.failsWithoutCapacity = mPlan.failsWithoutCapacity;
  started.withdrawAt = mPlan.withdrawAt;
  started.hasIdempotencyKey = !mHead.idempotencyKey.empty();
  started.deadline = mPlan.deadline;
  started.isResend = mHead.isResend;
  step(started);
}

void EntryExchange::step(const traffic::EntryEvent& aEvent)
{
  const auto self = shared_from_this();
  for (const auto& it : mLogic.step(Clock::now(), aEvent)) {
    if (mIsFinished) {
      return;
    }
    perform(it);
  }
}

void EntryExchange::perform(const traffic::EntryAction& aAction)
{
  if (const auto* lookUp = std::get_if<traffic::LookUpRoute>(&aAction)) {
    lookUpRoute(*lookUp);
  } else if (std::holds_alternative<traffic::AwaitView>(aAction)) {
    mHost.awaitView(shared_from_this());
  } else if (const auto* start = std::get_if<traffic::StartAttempt>(&aAction)) {
    startAttempt(*start);
  } else if (const auto* cancel = std::get_if<traffic::CancelAttempt>(&aAction)) {
    cancelAttempt(cancel->attempt);
  } else if (const auto* withdraw = std::get_if<traffic::WithdrawAttempt>(&aAction)) {
    withdrawAttempt(withdraw->attempt);
  } else if (const auto* timer = std::get_if<traffic::SetTimer>(&aAction)) {
    setTimer(timer->at);
  } else if (const auto* forward = std::get_if<traffic::ForwardResponse>(&aAction)) {
    forwardResponse(forward->attempt);
  } else if (const auto* failure = std::get_if<traffic::FailRequest>(&aAction)) {
    fail(failure->outcome, failure->code, failure->message, failure->retryAfter);
  }
}

void EntryExchange::lookUpRoute(const traffic::LookUpRoute& aLookUp)
{
  const traffic::RouteKnown route = mHost.selectRoute(*this, aLookUp.exclude, aLookUp.mustBeNewer);
  if (route.node == kNoNode || route.isOutOfService) {
    step(traffic::RouteUnknown{ route.isOutOfService });
  } else {
    step(route);
  }
}

void EntryExchange::startAttempt(const traffic::StartAttempt& aStart)
{
  if (mStream->hasDisconnected()) {
    onCallerDisconnected();
    return;
  }
  if (mIsBodyUnrepeatable) {
    fail(mMayHaveRun ? wire::Outcome::Unknown : wire::Outcome::NotRun, ErrorCode::PeerUnreachable,
         "the attempt failed while the request body was being sent; send the request again",
         Millis(0));
    return;
  }
  for (const auto& [running, attempt] : mAttempts) {
    mHost.attemptHedged(running);
  }
  const RequestId id = mHost.newAttempt(shared_from_this(), aStart.node);
  Attempt attempt;
  attempt.number = aStart.attempt;
  attempt.node = aStart.node;
  wire::RequestHead head = mHead;
  head.id = id;
  head.isResend = mHead.isResend || aStart.isResend;
  head.awaitsBodyCredit = true;
  const TimePoint now = Clock::now();
  attempt.sentAt = now;
  head.deadline = std::chrono::duration_cast<Millis>(mPlan.deadline - now);
  head.sentAt = std::chrono::duration_cast<Micros>(timeSinceBoot());
  // An objective of 0 means none, so one that has already passed is sent as 1 ms.
  if (mHead.objective > Millis(0)) {
    const auto spent = std::chrono::duration_cast<Millis>(now - mStartedAt);
    head.objective = std::max(mHead.objective - spent, Millis(1));
  }
  const transport::SendResult sent = mHost.sendTo(aStart.node, std::move(head));
  if (sent.status != transport::SendStatus::Accepted) {
    mHost.attemptEnded(id, false);
    step(traffic::AttemptFailed{ aStart.attempt, wire::Outcome::NotRun, ErrorCode::PeerUnreachable,
                                 "the owner's daemon can't be reached", Millis(0) });
    return;
  }
  attempt.link = sent.link;
  Attempt& stored = mAttempts.emplace(id, std::move(attempt)).first->second;
  mBodyAttempt = id;
  mIsBodySent = false;
  if (mHead.hasBody) {
    sendBufferedBody(id, stored);
  }
}

// Sends the beginning of the body. The rest of the buffered data is sent when the owner grants
// credit for it.
void EntryExchange::sendBufferedBody(const RequestId& aId, Attempt& aAttempt)
{
  mBodyBytes = std::min<std::uint64_t>(mBufferedBody.size(), kUnsolicitedBytes);
  mUnsentBody = mBufferedBody.substr(mBodyBytes);
  mIsUnsentLast = mIsBodyBuffered;
  wire::BodyChunk chunk;
  chunk.id = aId;
  chunk.direction = wire::Direction::ToTarget;
  chunk.sequence = aAttempt.nextBodyChunk++;
  chunk.data.data = mBufferedBody.substr(0, mBodyBytes);
  chunk.isLast = mIsBodyBuffered && mUnsentBody.empty();
  chunk.totalBytes = mBodyBytes;
  mIsBodySent = chunk.isLast;
  sendChunk(aId, aAttempt.link, std::move(chunk));
}

// If a chunk can't be sent, the attempt is cancelled, because the owner would otherwise wait for
// the chunk until the deadline.
void EntryExchange::sendChunk(RequestId aId, transport::LinkId aLink, wire::BodyChunk aChunk)
{
  if (mHost.replyTo(aLink, std::move(aChunk)) == transport::SendStatus::Accepted) {
    return;
  }
  mHost.replyTo(aLink, wire::CancelRequest{ aId });
  wire::RequestFailed failed;
  failed.id = aId;
  failed.outcome = wire::Outcome::Unknown;
  failed.code = ErrorCode::PeerUnreachable;
  failed.message = "a chunk of the request body could not be sent to the owner's daemon";
  handle(aId, failed);
}

void EntryExchange::handle(const RequestId& aId, const wire::Credit& aCredit)
{
  const auto it = mAttempts.find(aId);
  if (it == mAttempts.end()) {
    return;
  }
  it->second.bodyCredit += aCredit.bytes;
  pumpBody();
}

void EntryExchange::pumpBody()
{
  if (!mBodyAttempt || mIsBodySent || mIsFinished) {
    return;
  }
  if (mAttempts.count(*mBodyAttempt) == 0) {
    return;
  }
  sendWithinCredit();
  const auto it = mAttempts.find(*mBodyAttempt); // Removed if the chunk could not be sent.
  if (it == mAttempts.end() || mIsFinished) {
    return;
  }
  if (mIsBodySent || mIsUnsentLast || mIsReadingBody || !mUnsentBody.empty() ||
      it->second.bodyCredit == 0) {
    return;
  }
  mIsReadingBody = true;
  mStream->readBody(
    [self = shared_from_this()](transport::BodyPart aPart) { self->onBodyRead(std::move(aPart)); });
}

void EntryExchange::onBodyRead(transport::BodyPart aPart)
{
  mIsReadingBody = false;
  if (mIsFinished) {
    return;
  }
  mIsBodyUnrepeatable = true; // This data isn't buffered for another attempt.
  const auto it = mBodyAttempt ? mAttempts.find(*mBodyAttempt) : mAttempts.end();
  if (it == mAttempts.end()) {
    return;
  }
  if (aPart.error) {
    mHost.replyTo(it->second.link, wire::CancelRequest{ it->first });
    fail(wire::Outcome::Unknown, *aPart.error, "the request body ended early", Millis(0));
    return;
  }
  mUnsentBody += aPart.data;
  mIsUnsentLast = aPart.isLast;
  pumpBody();
}

// Sends no more than the credit allows, because the owner refuses data beyond it.
void EntryExchange::sendWithinCredit()
{
  const std::uint64_t n =
    std::min<std::uint64_t>(mUnsentBody.size(), mAttempts.find(*mBodyAttempt)->second.bodyCredit);
  const bool isLast = mIsUnsentLast && n == mUnsentBody.size();
  if (n > 0 || isLast) {
    std::string data = mUnsentBody.substr(0, n);
    mUnsentBody.erase(0, n);
    sendBodyChunk(std::move(data), isLast);
  }
}

void EntryExchange::sendBodyChunk(std::string aData, bool aIsLast)
{
  const auto it = mAttempts.find(*mBodyAttempt);
  Attempt& attempt = it->second;
  attempt.bodyCredit -= std::min<std::uint64_t>(attempt.bodyCredit, aData.size());
  mBodyBytes += aData.size();
  wire::BodyChunk chunk;
  chunk.id = it->first;
  chunk.direction = wire::Direction::ToTarget;
  chunk.sequence = attempt.nextBodyChunk++;
  chunk.isLast = aIsLast;
  chunk.totalBytes = mBodyBytes;
  chunk.data.data = std::move(aData);
  mIsBodySent = aIsLast;
  sendChunk(it->first, attempt.link, std::move(chunk));
}

void EntryExchange::handle(const RequestId& aId, wire::ResponseHead aHead)
{
  const auto it = mAttempts.find(aId);
  if (it == mAttempts.end() || it->second.response) {
    return;
  }
  it->second.response = std::move(aHead);
  step(traffic::AttemptHead{ it->second.number });
}

void EntryExchange::forwardResponse(unsigned aNumber)
{
  const auto it = findAttempt(aNumber);
  if (it == mAttempts.end() || !it->second.response || mForwardedAttempt) {
    return;
  }
  mForwardedAttempt = it->first;
  mTimer.cancel();
  const wire::ResponseHead& head = *it->second.response;
  mStream->sendHead(head.status, head.headers, transport::parseContentLength(head.headers));
}

void EntryExchange::handle(const RequestId& aId, wire::BodyChunk aChunk)
{
  const auto it = mAttempts.find(aId);
  if (it == mAttempts.end() || mForwardedAttempt != aId) {
    return;
  }
  Attempt& attempt = it->second;
  attempt.responseBytes += aChunk.data.size();
  const bool isInOrder = aChunk.sequence == attempt.nextResponseChunk++;
  const bool hasCorrectTotal = !aChunk.isLast || aChunk.totalBytes == attempt.responseBytes;
  if (!isInOrder || !hasCorrectTotal) {
    truncateResponse("a chunk of the response is missing or out of order");
    return;
  }
  const std::size_t size = aChunk.data.size();
  const bool isLast = aChunk.isLast;
  const auto self = shared_from_this();
  mStream->sendBody(std::move(aChunk.data.data), isLast, [self, aId, size](bool aIsOpen) {
    const auto sent = self->mAttempts.find(aId);
    if (aIsOpen && !self->mIsFinished && sent != self->mAttempts.end() && size > 0) {
      self->mHost.replyTo(sent->second.link, wire::Credit{ aId, wire::Direction::ToCaller, size });
    }
  });
  if (isLast) {
    step(traffic::AttemptDone{ attempt.number });
    finish(ErrorCode::None);
  }
}

void EntryExchange::handle(const RequestId& aId, const wire::RequestFailed& aFailed)
{
  const auto it = mAttempts.find(aId);
  if (it == mAttempts.end()) {
    return;
  }
  if (mForwardedAttempt == aId) {
    truncateResponse(aFailed.message);
    return;
  }
  const unsigned number = it->second.number;
  logEvent(LogLevel::Info, "attempt_failed",
           { { "request", mHead.callerRequestId },
             { "attempt", std::to_string(number) },
             { "node", std::to_string(it->second.node) },
             { "sent_after_ms", std::to_string(toMillis(it->second.sentAt - mStartedAt)) },
             { "code", std::string(enumName(aFailed.code)) },
             { "outcome", std::string(enumName(aFailed.outcome)) },
             { "reason", aFailed.message } });
  mAttempts.erase(it);
  mHost.attemptEnded(aId, false);
  mMayHaveRun = mMayHaveRun || aFailed.outcome == wire::Outcome::Unknown;
  step(traffic::AttemptFailed{ number, aFailed.outcome, aFailed.code, aFailed.message,
                               aFailed.retryAfter, aFailed.revision });
}

void EntryExchange::linkSilent(const RequestId& aId)
{
  const auto it = mAttempts.find(aId);
  const bool mayRepeat = mHead.isIdempotent || !mHead.idempotencyKey.empty();
  if (it == mAttempts.end() || it->second.response || !mayRepeat || mIsBodyUnrepeatable) {
    return;
  }
  mHost.replyTo(it->second.link, wire::CancelRequest{ aId });
  failAttempt(aId, wire::Outcome::Unknown, "nothing arrives from the owner's daemon");
}

void EntryExchange::linkLost(const RequestId& aId, bool aIsNotRun)
{
  failAttempt(aId, aIsNotRun ? wire::Outcome::NotRun : wire::Outcome::Unknown,
              "the connection to the owner's daemon was lost");
}

void EntryExchange::failAttempt(const RequestId& aId, wire::Outcome aOutcome, std::string aMessage)
{
  wire::RequestFailed failed;
  failed.id = aId;
  failed.outcome = aOutcome;
  failed.code = ErrorCode::PeerUnreachable;
  failed.message = std::move(aMessage);
  handle(aId, failed);
}

void EntryExchange::viewChanged()
{
  if (!mIsFinished && !mForwardedAttempt) {
    step(traffic::ViewChanged{});
  }
}

TimePoint EntryExchange::endsBy() const
{
  return mPlan.deadline + traffic::EntryRequest::kOwnerResultGrace;
}

void EntryExchange::end()
{
  if (!mForwardedAttempt) {
    const bool mayHaveRun = mMayHaveRun || isAtOwner();
    fail(mayHaveRun ? wire::Outcome::Unknown : wire::Outcome::NotRun, ErrorCode::Draining,
         "the time limit of this daemon's stop has passed", Millis(0));
  }
}

void EntryExchange::withdrawAt(TimePoint aTime)
{
  mPlan.withdrawAt = aTime; // Used if the body is still being read.
  if (!mIsFinished) {
    step(traffic::WithdrawalDue{ aTime });
  }
}

std::optional<transport::LinkId> EntryExchange::linkOf(const RequestId& aId) const
{
  const auto it = mAttempts.find(aId);
  return it == mAttempts.end() ? std::nullopt : std::optional(it->second.link);
}

void EntryExchange::cancelAttempt(unsigned aNumber)
{
  const auto it = findAttempt(aNumber);
  if (it == mAttempts.end()) {
    return;
  }
  const RequestId id = it->first;
  mHost.replyTo(it->second.link, wire::CancelRequest{ id });
  mAttempts.erase(it);
  mHost.attemptEnded(id, false);
}

void EntryExchange::withdrawAttempt(unsigned aNumber)
{
  const auto it = findAttempt(aNumber);
  if (it != mAttempts.end()) {
    const bool isBodyRead = !mHead.hasBody || mIsBodyBuffered || mIsUnsentLast || mIsBodySent;
    mHost.replyTo(it->second.link, wire::WithdrawRequest{ it->first, !isBodyRead });
  }
}

void EntryExchange::setTimer(TimePoint aWhen)
{
  mTimer.expires_at(aWhen);
  // The handler keeps the exchange alive between two attempts; finish() cancels the timer.
  mTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError && !self->mIsFinished && !self->mForwardedAttempt) {
      self->step(traffic::TimerFired{});
    }
  });
}

void EntryExchange::fail(wire::Outcome aOutcome, ErrorCode aCode, const std::string& aMessage,
                         Millis aRetryAfter)
{
  if (mIsFinished) {
    return;
  }
  sendFailure(mHost.dialect(), *mStream,
              { aOutcome, aCode, aMessage, aRetryAfter, !mHead.idempotencyKey.empty() });
  finish(aCode);
}

void EntryExchange::truncateResponse(const std::string& aReason)
{
  logEvent(LogLevel::Warning, "answer_truncated_to_caller", { { "reason", aReason } });
  mStream->abort();
  finish(ErrorCode::ResponseTruncated);
}

void EntryExchange::onCallerDisconnected()
{
  if (!mIsFinished) {
    step(traffic::CallerDisconnected{});
    finish(ErrorCode::Cancelled);
  }
}

void EntryExchange::finish(ErrorCode aCode)
{
  if (mIsFinished) {
    return;
  }
  mIsFinished = true;
  mTimer.cancel();
  const auto self = shared_from_this();
  for (const auto& [id, attempt] : mAttempts) {
    const bool hasCompleteResponse = aCode == ErrorCode::None && mForwardedAttempt == id;
    if (!hasCompleteResponse) {
      mHost.replyTo(attempt.link, wire::CancelRequest{ id });
    }
    mHost.attemptEnded(id, hasCompleteResponse);
  }
  // Completion handlers of pending writes to the caller find no attempt and send no credit.
  mAttempts.clear();
  mHost.exchangeFinished(*this, aCode);
}

std::map<RequestId, EntryExchange::Attempt>::iterator EntryExchange::findAttempt(unsigned aNumber)
{
  return std::find_if(mAttempts.begin(), mAttempts.end(),
                      [&](const auto& aItem) { return aItem.second.number == aNumber; });
}

} // namespace camphorcleat::daemon
