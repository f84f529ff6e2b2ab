// Writing and reading of record files.

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

std::string compactJson(const QCborValue& aValue)
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
    out.mFile = ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (out.mFile < 0) {
      return fail(StorageError{ aPath, "opening", errno });
    }
  }
  return out;
}

JsonLineWriter::JsonLineWriter(JsonLineWriter&& aOther) noexcept
  : mFile(std::exchange(aOther.mFile, -1))
{
}

JsonLineWriter& JsonLineWriter::operator=(JsonLineWriter&& aOther) noexcept
{
  std::swap(mFile, aOther.mFile);
  return *this;
}

JsonLineWriter::~JsonLineWriter()
{
  if (mFile >= 0) {
    ::close(mFile);
  }
}

void JsonLineWriter::writeLine(std::string aLine)
{
  aLine += '\n';
  if (::write(mFile, aLine.data(), aLine.size()) != static_cast<ssize_t>(aLine.size())) {
    std::perror("writing the record");
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
    if (auto done = aFunction(line); !done) {
      return fail(DecodeError{ aPath + ":" + std::to_string(n), "not a record of this kind" });
    }
  }
  return {};
}

} // namespace camphorcleat::harness
