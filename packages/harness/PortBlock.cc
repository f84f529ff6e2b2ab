// Claiming of port blocks.

#include "harness/PortBlock.h"

#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness/HarnessErrors.h"

namespace camphorcleat::harness {

namespace {

constexpr unsigned kFirstPort = 12'000;
constexpr unsigned kEndPort = 32'000; // Linux hands out 32768 and above to outgoing connections.
constexpr unsigned kBlockPorts = 100;

// A socket bound to the port, or -1 if the port is in use.
int bindPort(unsigned aPort, bool aListens)
{
  const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  // Without SO_REUSEADDR a port with connections in TIME_WAIT counts as used, which is intended: a
  // late segment of an earlier test must not reach this one.
  if (::bind(file, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
      (!aListens || ::listen(file, 1) == 0)) {
    return file;
  }
  ::close(file);
  return -1;
}

} // namespace

PortBlock::~PortBlock()
{
  for (const int it : mClaims) {
    ::close(it);
  }
}

Result<void> PortBlock::claimBlock()
{
  // Processes start their search at different blocks, so that they seldom collide.
  constexpr unsigned kBlocks = (kEndPort - kFirstPort) / kBlockPorts;
  const unsigned start = static_cast<unsigned>(::getpid()) * 7U;
  for (unsigned i = 0; i < kBlocks; ++i) {
    const unsigned port = kFirstPort + (start + i) % kBlocks * kBlockPorts;
    const int claim = bindPort(port, true);
    if (claim >= 0) {
      mClaims.push_back(claim);
      mNextPort = port + 1;
      mEndPort = port + kBlockPorts;
      return {};
    }
  }
  return fail(HarnessError{ "no free block of ports between 12000 and 32000" });
}

Result<Endpoint> PortBlock::next()
{
  while (true) {
    if (mNextPort == mEndPort) {
      BOOST_LEAF_CHECK(claimBlock());
    }
    const unsigned port = mNextPort++;
    const int probe = bindPort(port, false);
    if (probe >= 0) {
      ::close(probe);
      return Endpoint(boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port));
    }
  }
}

} // namespace camphorcleat::harness
