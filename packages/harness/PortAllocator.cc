// Reservation of port blocks by listening sockets.

#include "harness/PortAllocator.h"

#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness/HarnessErrors.h"

namespace camphorcleat::harness {

namespace {

constexpr unsigned kFirstPort = 12'000;
constexpr unsigned kEndPort = 32'000; // The ephemeral ports of Linux start at 32768.
constexpr unsigned kBlockPorts = 100;

// Returns a socket bound to the port, or -1 if the port is in use.
int bindPort(unsigned aPort, bool aListens)
{
  const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  // SO_REUSEADDR is not set, so that a port with connections in TIME_WAIT counts as used: a delayed
  // segment of an earlier test must not reach this one.
  if (::bind(file, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
      (!aListens || ::listen(file, 1) == 0)) {
    return file;
  }
  ::close(file);
  return -1;
}

} // namespace

PortAllocator::~PortAllocator()
{
  for (const int it : mReservations) {
    ::close(it);
  }
}

Result<void> PortAllocator::reserveBlock()
{
  // The process id selects the first block to try, so that concurrent tests rarely try the same
  // one. Processes with consecutive ids start 7 blocks apart.
  constexpr unsigned kBlocks = (kEndPort - kFirstPort) / kBlockPorts;
  const unsigned start = static_cast<unsigned>(::getpid()) * 7U;
  for (unsigned i = 0; i < kBlocks; ++i) {
    const unsigned port = kFirstPort + (start + i) % kBlocks * kBlockPorts;
    const int reservation = bindPort(port, true);
    if (reservation >= 0) {
      mReservations.push_back(reservation);
      mNextPort = port + 1;
      mEndPort = port + kBlockPorts;
      return {};
    }
  }
  return fail(HarnessError{ "all port blocks between 12000 and 32000 are reserved or in use" });
}

Result<Endpoint> PortAllocator::allocate()
{
  while (true) {
    if (mNextPort == mEndPort) {
      BOOST_LEAF_CHECK(reserveBlock());
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
