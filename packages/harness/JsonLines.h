// Records as files of one JSON object a line.
//
// Each line is one write(2) in append mode, so the lines of a process that is killed are complete
// up to its last event.

#ifndef CAMPHORCLEAT_HARNESS_JSONLINES_H_
#define CAMPHORCLEAT_HARNESS_JSONLINES_H_

#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "base/Codec.h"

namespace camphorcleat::harness {

/// Microseconds of CLOCK_MONOTONIC, comparable between the processes of one machine. Thread-safe.
std::int64_t monotonicMicros();

/// A JSON object without the fields that are null. Thread-safe.
std::string compactJson(const QCborValue& aValue);

/// Appends lines to a file. Not thread-safe.
class JsonLineWriter
{
public:
  /// Opens or creates the file; an empty path makes a writer that drops all lines.
  /// Fails with StorageError.
  static Result<JsonLineWriter> open(const std::string& aPath);

  JsonLineWriter() = default;
  JsonLineWriter(JsonLineWriter&& aOther) noexcept;
  JsonLineWriter& operator=(JsonLineWriter&& aOther) noexcept;
  ~JsonLineWriter();

  /// Writes one record. A record that can't be written completely ends the process: measures from
  /// an incomplete record would be wrong.
  template<class T>
  void write(const T& aRecord)
  {
    if (mFile >= 0) {
      writeLine(compactJson(toCborValue(aRecord)));
    }
  }

private:
  void writeLine(std::string aLine);

  int mFile = -1;
};

namespace detail {

/// Calls the function with each whole line. A last line without an end is skipped: its writer was
/// killed during the write. Fails with StorageError, or with what the function fails with.
Result<void> forEachLine(const std::string& aPath,
                         const std::function<Result<void>(const std::string&)>& aFunction);

} // namespace detail

/// Reads all records of a file. Fails with StorageError, or DecodeError that names file and line.
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
