// Ports of 127.0.0.1 for the processes of one test.
//
// Ports are taken from below the range that the system uses for outgoing connections, in blocks of
// 100. A listening socket on the first port of a block, held while the block is in use, keeps other
// test processes out of it. Ports that other programs use are skipped.

#ifndef CAMPHORCLEAT_HARNESS_PORTBLOCK_H_
#define CAMPHORCLEAT_HARNESS_PORTBLOCK_H_

#include <vector>

#include "base/Errors.h"
#include "harness/Endpoint.h"

namespace camphorcleat::harness {

/// Not thread-safe.
class PortBlock
{
public:
  PortBlock() = default;
  ~PortBlock();
  PortBlock(const PortBlock&) = delete;
  PortBlock& operator=(const PortBlock&) = delete;

  /// An address of 127.0.0.1 that nobody listens on and that no other PortBlock hands out while
  /// this one exists. Fails with HarnessError when all blocks are taken.
  Result<Endpoint> next();

private:
  Result<void> claimBlock();

  std::vector<int> mClaims;
  unsigned mNextPort = 0;
  unsigned mEndPort = 0;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_PORTBLOCK_H_
