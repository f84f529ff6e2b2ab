// child-starter PARENT_PID PROGRAM [ARGUMENT...]: becomes PROGRAM, and is killed with its parent.
//
// The kernel keeps the parent-death signal across execv, and posix_spawn has no attribute for it.

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
  // The parent may have ended before prctl took effect.
  if (getppid() != std::strtol(argv[1], nullptr, 10)) {
    return 3;
  }
  // A descriptor of the parent, such as a listening socket, must not live on in the program.
  if (close_range(STDERR_FILENO + 1, ~0U, 0) != 0) {
    std::perror("close_range");
    return 3;
  }
  execv(argv[2], argv + 2);
  std::perror(argv[2]);
  return 127;
}
