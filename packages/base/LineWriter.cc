// The descriptor is polled before each line. Setting O_NONBLOCK instead would affect all processes
// that share the open file.

#include "base/LineWriter.h"

#include <cerrno>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace camphorcleat {

bool LineWriter::write(const std::string& aLine)
{
  if (aLine.size() >= kMaxBytes || !isWritable()) {
    ++mDropped;
    return false;
  }
  const std::string text = aLine + "\n";
  ssize_t n = 0;
  do {
    n = ::write(mDescriptor, text.data(), text.size());
  } while (n < 0 && errno == EINTR);
  if (n < 0) {
    ++mDropped;
    return false;
  }
  return true;
}

std::uint64_t LineWriter::takeDroppedCount()
{
  return std::exchange(mDropped, 0);
}

bool LineWriter::isWritable() const
{
  pollfd entry{};
  entry.fd = mDescriptor;
  entry.events = POLLOUT;
  return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace camphorcleat
