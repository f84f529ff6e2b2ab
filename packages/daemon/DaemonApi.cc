// Pushes requests into the ring buffers of the duties.

#include "daemon/DaemonApi.h"

namespace camphorcleat::daemon {

void DaemonApi::submit(CommandRequest aRequest)
{
  const auto reply = aRequest.reply;
  ControlMessage message(std::move(aRequest));
  if (!mRings.control || !mRings.control->tryPush(std::move(message))) {
    reply({ ErrorCode::NotLeader,
            "this daemon is not a control member, or its command queue is full", 0 });
  }
}

void DaemonApi::readDocument(DocumentRequest aRequest)
{
  const auto reply = aRequest.reply;
  ControlMessage message(std::move(aRequest));
  if (!mRings.control || !mRings.control->tryPush(std::move(message))) {
    reply({ ErrorCode::NotLeader, "" });
  }
}

bool DaemonApi::heartbeat(TargetHeartbeat aHeartbeat)
{
  OwnerMessage message(std::move(aHeartbeat));
  return mRings.owner.tryPush(std::move(message));
}

bool DaemonApi::deregister(TargetDeregistration aDeregistration)
{
  OwnerMessage message(std::move(aDeregistration));
  return mRings.owner.tryPush(std::move(message));
}

bool DaemonApi::isReady() const
{
  return !mIsStopping && mView.state()->model->configuration().version > 0;
}

} // namespace camphorcleat::daemon
