// Writes lines to a descriptor without ever waiting for its reader.

#ifndef CAMPHORCLEAT_BASE_LINEWRITER_H_
#define CAMPHORCLEAT_BASE_LINEWRITER_H_

#include <cstdint>
#include <string>

namespace camphorcleat {

/// A line is dropped if the descriptor can't take it at once: a pipe whose reader has stalled must
/// not hold up the thread that logs. Not thread-safe.
class LineWriter
{
public:
  /// Longest line with its end. A pipe that is writable takes this much at once (PIPE_BUF).
  static constexpr std::size_t kMaxBytes = 4096;

  /// The descriptor stays open and belongs to the caller.
  explicit LineWriter(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  /// Writes a line and its end; false if it was dropped. Longer lines than kMaxBytes are dropped.
  bool write(const std::string& aLine);

  /// Lines dropped since the last call.
  std::uint64_t takeDropped();

private:
  bool isWritable() const;

  int mDescriptor;
  std::uint64_t mDropped = 0;
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_LINEWRITER_H_
