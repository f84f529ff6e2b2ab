// Grants in the order of the requests, as far as the window allows.

#include "traffic/BodyCredit.h"

#include <algorithm>

namespace camphorcleat::traffic {

void BodyCredit::recordWait(TimePoint aNow, Duration aWait)
{
  if (!mIntervalStart) {
    mIntervalStart = aNow;
    mLeastWait = aWait;
    return;
  }
  mLeastWait = std::min(mLeastWait, aWait);
  if (aNow - *mIntervalStart < mConfig.interval) {
    return;
  }
  constexpr double kDecrease = 0.75;
  constexpr double kIncrease = 1.15;
  const auto scaled = [&](double aFactor) {
    const auto bytes = static_cast<std::uint64_t>(static_cast<double>(mWindowBytes) * aFactor);
    return std::clamp(bytes, bytesIn(mConfig.minWindow), bytesIn(mConfig.maxWindow));
  };
  if (mLeastWait > mConfig.maxWait) {
    mWindowBytes = scaled(kDecrease);
  } else if (mIsLimiting && mLeastWait < mConfig.maxWait / 2) {
    mWindowBytes = scaled(kIncrease);
  }
  mIsLimiting = false;
  mIntervalStart.reset();
}

void BodyCredit::ask(const RequestId& aId, std::uint64_t aBytes)
{
  if (aBytes == 0) {
    return;
  }
  Request& request = mRequests[aId];
  if (request.askedBytes == 0) {
    mAsking.push_back(aId);
  }
  request.askedBytes += aBytes;
}

void BodyCredit::received(TimePoint aNow, const RequestId& aId, std::uint64_t aBytes)
{
  const auto it = mRequests.find(aId);
  if (it != mRequests.end()) {
    it->second.grantedBytes -= std::min(it->second.grantedBytes, aBytes);
    it->second.progressAt = aNow;
  }
}

void BodyCredit::remove(const RequestId& aId)
{
  mRequests.erase(aId);
}

std::vector<BodyCredit::Grant> BodyCredit::take(TimePoint aNow)
{
  std::vector<Grant> out;
  std::uint64_t onTheWay = mAsking.empty() ? 0 : bytesOnTheWay(aNow);
  while (!mAsking.empty()) {
    const RequestId id = mAsking.front();
    const auto it = mRequests.find(id);
    if (it == mRequests.end() || it->second.askedBytes == 0) {
      mAsking.pop_front();
      continue;
    }
    Request& request = it->second;
    const std::uint64_t wanted =
      mWindowBytes == 0 ? request.askedBytes : std::min(request.askedBytes, kMaxGrantBytes);
    // A window that is smaller than one grant still lets one sender at a time proceed.
    if (mWindowBytes != 0 && onTheWay > 0 && onTheWay + wanted > mWindowBytes) {
      mIsLimiting = true;
      break;
    }
    mAsking.pop_front();
    if (request.grantedBytes == 0) {
      request.progressAt = aNow;
    }
    request.askedBytes -= wanted;
    request.grantedBytes += wanted;
    onTheWay += wanted;
    if (request.askedBytes > 0) {
      mAsking.push_back(id);
    }
    out.push_back({ id, wanted });
  }
  return out;
}

std::uint64_t BodyCredit::outstandingBytes() const
{
  std::uint64_t out = 0;
  for (const auto& [id, request] : mRequests) {
    out += request.grantedBytes;
  }
  return out;
}

std::uint64_t BodyCredit::bytesIn(Millis aTime) const
{
  return static_cast<std::uint64_t>(static_cast<double>(mConfig.linkBytesPerSecond) *
                                    toSeconds(aTime));
}

std::uint64_t BodyCredit::bytesOnTheWay(TimePoint aNow) const
{
  std::uint64_t out = 0;
  for (const auto& [id, request] : mRequests) {
    out += aNow - request.progressAt < kStallTime ? request.grantedBytes : 0;
  }
  return out;
}

} // namespace camphorcleat::traffic
