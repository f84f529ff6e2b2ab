// Example of a program that uses FairQueue. One account sends more requests than the queue can
// hold, and the other account still gets its share. Exits with 1 if the order of the requests that
// leave the queue shows that it doesn't.

#include <iostream>
#include <string>

#include "traffic/FairQueue.h"

namespace {

using namespace camphorcleat;

constexpr std::size_t kMaxQueued = 8;
constexpr std::uint64_t kFloodRequests = 20;
constexpr std::uint64_t kQuietRequests = 2;
// The queue alternates between the two accounts, so both requests of the account "quiet" are among
// the first four.
constexpr std::size_t kFairPrefix = 4;

// Pushes requests of one account and returns the number of requests that the full queue dropped.
std::size_t pushRequests(traffic::FairQueue& aQueue, const std::string& aAccount,
                         Incarnation aIncarnation, std::uint64_t aCount, TimePoint aDeadline)
{
  std::size_t dropped = 0;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    if (aQueue.push({ RequestId{ aIncarnation, i }, aAccount, 1, aDeadline })) {
      ++dropped;
    }
  }
  return dropped;
}

} // namespace

int main()
{
  traffic::FairQueue queue(kMaxQueued);
  const TimePoint deadline = Clock::now() + Millis(1000);
  std::size_t dropped = pushRequests(queue, "flood", 1, kFloodRequests, deadline);
  dropped += pushRequests(queue, "quiet", 2, kQuietRequests, deadline);
  std::cout << "refused: " << dropped << "\nserved:";
  // Number of requests of the account "quiet" among the first kFairPrefix requests.
  std::size_t quietCountInPrefix = 0;
  for (std::size_t i = 0; queue.front() != nullptr; ++i) {
    const traffic::QueuedRequest request = queue.popFront();
    std::cout << ' ' << request.account;
    quietCountInPrefix += i < kFairPrefix && request.account == "quiet" ? 1 : 0;
  }
  std::cout << '\n';
  return quietCountInPrefix == kQuietRequests ? 0 : 1;
}
