// Guards against a logging thread that blocks because the reader of its output has stalled.

#include <catch2/catch.hpp>

#include <csignal>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include "base/LineWriter.h"
#include "base/Time.h"

namespace camphorcleat {
namespace {

struct Pipe
{
  Pipe() { REQUIRE(::pipe(ends) == 0); }
  ~Pipe()
  {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  std::string readAll()
  {
    std::string out(1U << 20U, '\0');
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::size_t size = 0;
    ssize_t n = 0;
    while ((n = ::read(ends[0], out.data() + size, out.size() - size)) > 0) {
      size += static_cast<std::size_t>(n);
    }
    out.resize(size);
    return out;
  }
  int ends[2] = { -1, -1 };
};

} // namespace

TEST_CASE("lines are dropped without blocking while the reader is stalled")
{
  Pipe pipe;
  LineWriter writer(pipe.ends[1]);
  const std::string line(1000, 'x');
  const TimePoint start = Clock::now();
  unsigned written = 0;
  for (unsigned i = 0; i < 1000; ++i) {
    written += writer.write(line) ? 1 : 0;
  }
  REQUIRE(Clock::now() - start < Millis(1000));
  REQUIRE(written > 0);
  REQUIRE(writer.takeDroppedCount() == 1000 - written);
  REQUIRE(pipe.readAll().size() == written * (line.size() + 1));
  REQUIRE(writer.write("after"));
  REQUIRE(pipe.readAll() == "after\n");
  REQUIRE(writer.takeDroppedCount() == 0);
}

TEST_CASE("a line longer than PIPE_BUF is dropped because writing it could block")
{
  Pipe pipe;
  LineWriter writer(pipe.ends[1]);
  REQUIRE_FALSE(writer.write(std::string(LineWriter::kMaxBytes, 'x')));
  REQUIRE(writer.write(std::string(LineWriter::kMaxBytes - 1, 'x')));
  REQUIRE(writer.takeDroppedCount() == 1);
}

TEST_CASE("a line written to a pipe without a reader is counted as dropped")
{
  std::signal(SIGPIPE, SIG_IGN); // The daemon ignores it, too.
  Pipe pipe;
  LineWriter writer(pipe.ends[1]);
  ::close(pipe.ends[0]);
  pipe.ends[0] = -1;
  REQUIRE_FALSE(writer.write("nobody reads this"));
  REQUIRE(writer.takeDroppedCount() == 1);
}

} // namespace camphorcleat
