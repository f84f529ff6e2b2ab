// Maps message types to duties and delivers messages to their rings.

#include "daemon/PeerRouter.h"

#include <algorithm>

#include "base/Log.h"

namespace camphorcleat::daemon {

namespace {

enum class Duty
{
  None,
  Agent,
  Control,
  Owner,
  Entry,
  AgentAndControl
};

struct DutyOf
{
  Duty operator()(const wire::Hello& /*aBody*/) const { return Duty::None; }
  Duty operator()(const wire::Goodbye& /*aBody*/) const { return Duty::None; }
  Duty operator()(const wire::LogFrame& /*aBody*/) const { return Duty::Control; }
  Duty operator()(const wire::JoinRequest& /*aBody*/) const { return Duty::Control; }
  Duty operator()(const wire::JoinReply& /*aBody*/) const { return Duty::Control; }
  Duty operator()(const wire::LeaseRenew& /*aBody*/) const { return Duty::Control; }
  Duty operator()(const wire::CommandSubmit& /*aBody*/) const { return Duty::Control; }
  Duty operator()(const wire::ReadSubmit& /*aBody*/) const { return Duty::Control; }
  Duty operator()(const wire::ReadReply& /*aBody*/) const { return Duty::Control; }
  Duty operator()(const wire::LeaseReply& /*aBody*/) const { return Duty::Agent; }
  Duty operator()(const wire::ViewUpdate& /*aBody*/) const { return Duty::Agent; }
  Duty operator()(const wire::ViewSnapshot& /*aBody*/) const { return Duty::Agent; }
  // Both duties submit commands, and each ignores replies to commands of the other.
  Duty operator()(const wire::CommandReply& /*aBody*/) const { return Duty::AgentAndControl; }
  Duty operator()(const wire::RequestHead& /*aBody*/) const { return Duty::Owner; }
  Duty operator()(const wire::CancelRequest& /*aBody*/) const { return Duty::Owner; }
  Duty operator()(const wire::WithdrawRequest& /*aBody*/) const { return Duty::Owner; }
  Duty operator()(const wire::TokenRequest& /*aBody*/) const { return Duty::Owner; }
  Duty operator()(const wire::TokenReply& /*aBody*/) const { return Duty::Owner; }
  Duty operator()(const wire::ResponseHead& /*aBody*/) const { return Duty::Entry; }
  Duty operator()(const wire::RequestFailed& /*aBody*/) const { return Duty::Entry; }
  Duty operator()(const wire::BodyChunk& aBody) const
  {
    return aBody.direction == wire::Direction::ToTarget ? Duty::Owner : Duty::Entry;
  }
  // Credit is for the side that sends the body.
  Duty operator()(const wire::Credit& aBody) const
  {
    return aBody.direction == wire::Direction::ToTarget ? Duty::Entry : Duty::Owner;
  }
};

template<class Message>
bool push(Ring<Message>* aRing, Message aMessage)
{
  return aRing != nullptr && aRing->tryPush(std::move(aMessage));
}

} // namespace

transport::SendResult PeerRouter::send(NodeId aTo, transport::Lane aLane,
                                       wire::PeerMessage aMessage)
{
  if (aTo != mSelf) {
    return mHub->send(aTo, aLane, aMessage);
  }
  const bool isQueued = dispatch({ kLocalLink, mSelf, std::move(aMessage) });
  return { isQueued ? transport::SendStatus::Accepted : transport::SendStatus::Full, kLocalLink };
}

transport::SendResult PeerRouter::sendOnOpenLink(NodeId aTo, transport::Lane aLane,
                                                 wire::PeerMessage aMessage)
{
  return aTo == mSelf ? send(aTo, aLane, std::move(aMessage))
                      : mHub->sendOnOpenLink(aTo, aLane, aMessage);
}

transport::SendStatus PeerRouter::reply(transport::LinkId aLink, wire::PeerMessage aMessage)
{
  if (aLink != kLocalLink) {
    return mHub->reply(aLink, aMessage);
  }
  return dispatch({ kLocalLink, mSelf, std::move(aMessage) }) ? transport::SendStatus::Accepted
                                                              : transport::SendStatus::Full;
}

std::vector<transport::SendStatus> PeerRouter::replyAll(
  const std::vector<transport::LinkId>& aLinks, const wire::PeerMessage& aMessage)
{
  const auto local = std::find(aLinks.begin(), aLinks.end(), kLocalLink);
  if (local == aLinks.end()) {
    return mHub->replyAll(aLinks, aMessage);
  }
  std::vector<transport::LinkId> others = aLinks;
  others.erase(others.begin() + (local - aLinks.begin()));
  auto out = others.empty() ? std::vector<transport::SendStatus>() : replyAll(others, aMessage);
  out.insert(out.begin() + (local - aLinks.begin()), reply(kLocalLink, aMessage));
  return out;
}

void PeerRouter::onLinkOpened(transport::LinkId aLink, transport::Lane aLane, Duration aSentAt,
                              Duration aReceivedAt)
{
  // Without this message, the first request on the link counts as one that hasn't waited.
  if (aLane == transport::Lane::Data) {
    const Duration maxWait = mHub == nullptr ? Duration::zero() : mHub->maxHelloWait();
    push<OwnerMessage>(&mRings.owner, LinkOpened{ aLink, aSentAt, aReceivedAt, maxWait });
  }
}

void PeerRouter::onMessage(transport::LinkId aLink, NodeId aFrom, transport::Lane /*aLane*/,
                           wire::PeerMessage aMessage)
{
  std::optional<RequestId> request;
  if (const auto* head = std::get_if<wire::RequestHead>(&aMessage)) {
    request = head->id;
  }
  const bool isForEntry = std::visit(DutyOf{}, aMessage) == Duty::Entry;
  if (dispatch({ aLink, aFrom, std::move(aMessage) })) {
    return;
  }
  if (request) {
    refuseOverloaded(aLink, *request);
  }
  if (isForEntry) {
    mIncompleteLinks.insert(aLink);
  }
}

void PeerRouter::refuseOverloaded(transport::LinkId aLink, const RequestId& aId)
{
  wire::RequestFailed failed;
  failed.id = aId;
  failed.outcome = wire::Outcome::NotRun;
  failed.code = ErrorCode::Overloaded;
  failed.message = "the owner's input ring is full";
  reply(aLink, failed);
}

// If a ring is full, requests on the link wait for their responses until their deadlines.
void PeerRouter::onLinkSilent(transport::LinkId aLink, NodeId /*aPeer*/)
{
  if (!mRings.owner.isClosed()) {
    push<OwnerMessage>(&mRings.owner, LinkSilent{ aLink });
  }
  if (!mRings.entry.isClosed()) {
    push<EntryMessage>(&mRings.entry, LinkSilent{ aLink });
  }
}

void PeerRouter::onLinkLost(transport::LinkId aLink, NodeId aPeer, transport::Lane /*aLane*/,
                            bool /*aWasDialed*/, bool aIsNotRun)
{
  const bool isComplete = mIncompleteLinks.erase(aLink) == 0;
  const LinkLost lost{ aLink, aPeer, aIsNotRun && isComplete };
  push<AgentMessage>(&mRings.agent, lost);
  push<ControlMessage>(mRings.control.get(), lost);
  const bool isOwnerNotified = mRings.owner.isClosed() || push<OwnerMessage>(&mRings.owner, lost);
  const bool isEntryNotified = mRings.entry.isClosed() || push<EntryMessage>(&mRings.entry, lost);
  if (!isOwnerNotified || !isEntryNotified) {
    // Requests on the connection then fail at their deadlines.
    logEvent(LogLevel::Warning, "link_loss_not_delivered", { { "peer", std::to_string(aPeer) } });
  }
}

// Removes a request that the owner hasn't handled yet. It would be started before its cancellation
// is handled. The owner ignores parts of its body.
bool PeerRouter::removeWaitingRequest(const RequestId& aId)
{
  return mRings.owner.removeNewest([&](const OwnerMessage& aMessage) {
    const auto* received = std::get_if<ReceivedMessage>(&aMessage);
    const auto* head =
      received == nullptr ? nullptr : std::get_if<wire::RequestHead>(&received->message);
    return head != nullptr && head->id == aId;
  });
}

bool PeerRouter::dispatch(ReceivedMessage aMessage)
{
  switch (std::visit(DutyOf{}, aMessage.message)) {
    case Duty::Agent:
      return push<AgentMessage>(&mRings.agent, std::move(aMessage));
    case Duty::Control:
      return push<ControlMessage>(mRings.control.get(), std::move(aMessage));
    case Duty::AgentAndControl:
      push<ControlMessage>(mRings.control.get(), aMessage);
      return push<AgentMessage>(&mRings.agent, std::move(aMessage));
    case Duty::Owner:
      if (const auto* cancel = std::get_if<wire::CancelRequest>(&aMessage.message)) {
        if (removeWaitingRequest(cancel->id)) {
          return true;
        }
      }
      return push<OwnerMessage>(&mRings.owner, std::move(aMessage));
    case Duty::Entry:
      return push<EntryMessage>(&mRings.entry, std::move(aMessage));
    case Duty::None:
      break;
  }
  return false;
}

} // namespace camphorcleat::daemon
