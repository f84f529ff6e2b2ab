// Record files with one JSON object a line.
//
// Each line is written with one write(2) in append mode. If the process is killed, all lines are
// complete except perhaps the last one.

#ifndef CAMPHORCLEAT_HARNESS_JSONLINES_H_
#define CAMPHORCLEAT_HARNESS_JSONLINES_H_

#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "base/Codec.h"

namespace camphorcleat::harness {

/// Returns CLOCK_MONOTONIC in microseconds, which is comparable between the processes of a machine.
/// Thread-safe.
std::int64_t monotonicMicros();

/// Returns a map as a JSON object without the fields that are null. Thread-safe.
std::string jsonWithoutNulls(const QCborValue& aValue);

/// Appends records to a file, one a line. Not thread-safe.
class JsonLineWriter
{
public:
  /// Opens or creates the file. If the path is empty, the writer discards all records. Fails with
  /// StorageError.
  static Result<JsonLineWriter> open(const std::string& aPath);

  JsonLineWriter() = default;
  JsonLineWriter(JsonLineWriter&& aOther) noexcept;
  JsonLineWriter& operator=(JsonLineWriter&& aOther) noexcept;
  ~JsonLineWriter();

  /// Writes one record. Aborts the process if the line can't be written completely, because
  /// measures computed from an incomplete file would be wrong.
  template<class T>
  void write(const T& aRecord)
  {
    if (mFileDescriptor >= 0) {
      writeLine(jsonWithoutNulls(toCborValue(aRecord)));
    }
  }

private:
  void writeLine(std::string aLine);

  int mFileDescriptor = -1;
};

namespace detail {

/// Calls the function with each complete line. Skips a last line without a newline, because its
/// writer was killed during the write. Fails with StorageError, or with a DecodeError that names
/// the file and line if the function fails.
Result<void> forEachLine(const std::string& aPath,
                         const std::function<Result<void>(const std::string&)>& aFunction);

} // namespace detail

/// Reads all records of a file. Fails with StorageError, or with a DecodeError that names the file
/// and line.
template<class T>
Result<std::vector<T>> readJsonLines(const std::string& aPath)
{
  std::vector<T> out;
  auto add = [&](const std::string& aLine) -> Result<void> {
    BOOST_LEAF_AUTO(record, fromJson<T>(aLine));
    out.push_back(std::move(record));
    return {};
  };
  BOOST_LEAF_CHECK(detail::forEachLine(aPath, add));
  return out;
}

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_JSONLINES_H_
