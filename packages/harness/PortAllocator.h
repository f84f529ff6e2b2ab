// Allocates TCP ports of 127.0.0.1 for the processes of one test.
//
// The ports lie below the range of ephemeral ports and are reserved in blocks of 100. A listening
// socket on the first port of a block reserves the block against other test processes for as long
// as it is in use. Ports that other programs use are skipped.

#ifndef CAMPHORCLEAT_HARNESS_PORTALLOCATOR_H_
#define CAMPHORCLEAT_HARNESS_PORTALLOCATOR_H_

#include <vector>

#include "base/Errors.h"
#include "harness/Endpoint.h"

namespace camphorcleat::harness {

/// Not thread-safe.
class PortAllocator
{
public:
  PortAllocator() = default;
  ~PortAllocator();
  PortAllocator(const PortAllocator&) = delete;
  PortAllocator& operator=(const PortAllocator&) = delete;

  /// Returns an address of 127.0.0.1 with an unused port, which no other PortAllocator returns
  /// during the lifetime of this one. Fails with HarnessError if all blocks are reserved.
  Result<Endpoint> allocate();

private:
  Result<void> reserveBlock();

  std::vector<int> mReservations;
  unsigned mNextPort = 0;
  unsigned mEndPort = 0;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_PORTALLOCATOR_H_
