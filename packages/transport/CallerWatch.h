// Tells other threads whether the caller of a request still waits for its response.

#ifndef CAMPHORCLEAT_TRANSPORT_CALLERWATCH_H_
#define CAMPHORCLEAT_TRANSPORT_CALLERWATCH_H_

#include <atomic>
#include <functional>
#include <memory>

#include "transport/HttpFrontend.h"

namespace camphorcleat::transport {

/// Returns a thread-safe function that tells whether the caller still waits for the response. It
/// uses the stream's onDisconnect(), so call this once, on the stream's thread.
inline std::function<bool()> watchCaller(CallerStream& aStream)
{
  auto isWaiting = std::make_shared<std::atomic<bool>>(!aStream.hasDisconnected());
  aStream.onDisconnect([isWaiting] { *isWaiting = false; });
  return [isWaiting] { return isWaiting->load(); };
}

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_CALLERWATCH_H_
