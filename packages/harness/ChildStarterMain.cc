// child-starter PARENT_PID PROGRAM [ARGUMENT...]: executes PROGRAM, which the kernel kills when the
// parent ends.
//
// A separate program is needed because posix_spawn has no attribute for the parent-death signal.
// The setting survives execv.

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <sys/prctl.h>
#include <unistd.h>

int main(int argc, char** argv)
{
  if (argc < 3) {
    std::fputs("usage: child-starter PARENT_PID PROGRAM [ARGUMENT...]\n", stderr);
    return 2;
  }
  if (prctl(PR_SET_PDEATHSIG, SIGKILL) != 0) {
    std::perror("prctl");
    return 3;
  }
  // If the parent ended before the call of prctl, no signal will be sent.
  if (getppid() != std::strtol(argv[1], nullptr, 10)) {
    return 3;
  }
  // Descriptors inherited from the parent, such as a listening socket, must not stay open in the
  // program.
  if (close_range(STDERR_FILENO + 1, ~0U, 0) != 0) {
    std::perror("close_range");
    return 3;
  }
  execv(argv[2], argv + 2);
  std::perror(argv[2]);
  return 127;
}
