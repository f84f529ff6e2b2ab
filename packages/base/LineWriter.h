// Writes lines to a file descriptor without blocking.

#ifndef CAMPHORCLEAT_BASE_LINEWRITER_H_
#define CAMPHORCLEAT_BASE_LINEWRITER_H_

#include <cstdint>
#include <string>

namespace camphorcleat {

/// Drops a line if the descriptor is not writable, so that a pipe whose reader has stalled does not
/// block the thread that logs. Not thread-safe.
class LineWriter
{
public:
  /// Maximum length of a line with its line end. A writable pipe accepts this many bytes (PIPE_BUF)
  /// without blocking.
  static constexpr std::size_t kMaxBytes = 4096;

  /// The caller owns the descriptor, which must outlive this object.
  explicit LineWriter(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  /// Writes a line and its line end. Returns false if the line was dropped, because it is longer
  /// than kMaxBytes, the descriptor is not writable or the write failed.
  bool write(const std::string& aLine);

  /// Returns the number of lines dropped since the last call and resets it to 0.
  std::uint64_t takeDroppedCount();

private:
  bool isWritable() const;

  int mDescriptor;
  std::uint64_t mDropped = 0;
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_LINEWRITER_H_
