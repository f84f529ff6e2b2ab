// Writes and reads record files.

#include "harness/JsonLines.h"

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace camphorcleat::harness {

std::int64_t monotonicMicros()
{
  return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()).count();
}

std::string jsonWithoutNulls(const QCborValue& aValue)
{
  QCborMap map = aValue.toMap();
  for (auto it = map.begin(); it != map.end();) {
    it = it.value().isNull() ? map.erase(it) : it + 1;
  }
  return writeJson(map);
}

Result<JsonLineWriter> JsonLineWriter::open(const std::string& aPath)
{
  JsonLineWriter out;
  if (!aPath.empty()) {
    out.mFileDescriptor = ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (out.mFileDescriptor < 0) {
      return fail(StorageError{ aPath, "opening", errno });
    }
  }
  return out;
}

JsonLineWriter::JsonLineWriter(JsonLineWriter&& aOther) noexcept
  : mFileDescriptor(std::exchange(aOther.mFileDescriptor, -1))
{
}

JsonLineWriter& JsonLineWriter::operator=(JsonLineWriter&& aOther) noexcept
{
  std::swap(mFileDescriptor, aOther.mFileDescriptor);
  return *this;
}

JsonLineWriter::~JsonLineWriter()
{
  if (mFileDescriptor >= 0) {
    ::close(mFileDescriptor);
  }
}

void JsonLineWriter::writeLine(std::string aLine)
{
  aLine += '\n';
  if (::write(mFileDescriptor, aLine.data(), aLine.size()) != static_cast<ssize_t>(aLine.size())) {
    std::perror("can't write a line of a record file");
    std::abort();
  }
}

Result<void> detail::forEachLine(const std::string& aPath,
                                 const std::function<Result<void>(const std::string&)>& aFunction)
{
  std::ifstream in(aPath, std::ios::binary);
  if (!in) {
    return fail(StorageError{ aPath, "opening", errno });
  }
  std::string line;
  for (unsigned n = 1; std::getline(in, line) && !in.eof(); ++n) {
    if (auto result = aFunction(line); !result) {
      return fail(DecodeError{ aPath + ":" + std::to_string(n),
                               "the line is not a record of the expected type" });
    }
  }
  return {};
}

} // namespace camphorcleat::harness
