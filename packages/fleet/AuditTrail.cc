// Writes with POSIX calls, because standard streams have no fsync.

#include "fleet/AuditTrail.h"

#include <algorithm>
#include <cerrno>
#include <deque>
#include <fstream>
#include <functional>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace camphorcleat::fleet {

namespace {

constexpr mode_t kFileMode = 0640;

// Bytes at the end of a file that are read first.
constexpr std::size_t kEndBytes = 64U << 10U;

std::string oldPathOf(const std::string& aPath)
{
  return aPath + ".1";
}

leaf::error_id failSystem(const std::string& aFile, const std::string& aOperation)
{
  return fail(StorageError{ aFile, aOperation, errno });
}

// Syncs the directory, so that a new or renamed file survives a crash.
Result<void> syncFolder(const std::string& aPath)
{
  const std::size_t slash = aPath.rfind('/');
  const std::string folder = slash == std::string::npos ? "." : aPath.substr(0, slash + 1);
  const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    return failSystem(folder, "open");
  }
  const int status = ::fsync(fd);
  const int error = errno;
  ::close(fd);
  if (status != 0) {
    return fail(StorageError{ folder, "fsync", error });
  }
  return {};
}

// Calls a function with the record of each complete line after the position aFrom; a missing file
// has no lines. Unless aFrom is 0, the line that contains the byte before it is skipped. Returns
// the total size of the complete lines.
Result<std::size_t> forEachRecord(const std::string& aPath, std::size_t aFrom,
                                  const std::function<void(AuditRecord)>& aCallback)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    if (::access(aPath.c_str(), F_OK) != 0) {
      return std::size_t{ 0 };
    }
    // The stream doesn't report the cause. The file exists, so it is probably not readable.
    return fail(StorageError{ aPath, "open", EACCES });
  }
  std::size_t offset = 0;
  std::string line;
  if (aFrom > 0) {
    file.seekg(static_cast<std::streamoff>(aFrom - 1));
    std::getline(file, line);
    offset = aFrom + line.size();
  }
  while (std::getline(file, line) && !file.eof()) {
    std::string problem;
    auto record = orElse(
      [&]() -> Result<std::optional<AuditRecord>> {
        BOOST_LEAF_AUTO(value, fromJson<AuditRecord>(line));
        return std::optional<AuditRecord>(std::move(value));
      },
      [&](const ErrorInfo& aInfo) {
        problem = aInfo.message;
        return std::optional<AuditRecord>();
      });
    if (!record) {
      return fail(LogDamagedError{ aPath, offset, problem });
    }
    aCallback(std::move(*record));
    offset += line.size() + 1;
  }
  if (file.bad()) {
    return fail(StorageError{ aPath, "read", EIO });
  }
  return offset;
}

struct FileEnd
{
  std::size_t completeBytes = 0; // Total size of the complete lines.
  Revision lastRevision = 0;
  std::size_t lastCount = 0;       // Number of records of lastRevision.
  bool hasEarlierRevision = false; // Otherwise the file before may have records of lastRevision.
};

// Reads no more of the file than the records of the last revision need.
Result<FileEnd> readEnd(const std::string& aPath)
{
  struct stat status = {};
  if (::stat(aPath.c_str(), &status) != 0) {
    if (errno == ENOENT) {
      return FileEnd();
    }
    return failSystem(aPath, "stat");
  }
  const auto fileBytes = static_cast<std::size_t>(status.st_size);
  for (std::size_t bytes = kEndBytes;; bytes *= 2) {
    const std::size_t from = fileBytes > bytes ? fileBytes - bytes : 0;
    FileEnd out;
    BOOST_LEAF_ASSIGN(
      out.completeBytes, forEachRecord(aPath, from, [&](const AuditRecord& aRecord) {
        const bool isSame = aRecord.revision == out.lastRevision;
        out.hasEarlierRevision = out.hasEarlierRevision || (!isSame && out.lastCount > 0);
        out.lastCount = isSame ? out.lastCount + 1 : 1;
        out.lastRevision = aRecord.revision;
      }));
    if (from == 0 || out.hasEarlierRevision) {
      return out;
    }
  }
}

bool contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

bool passesFilter(const AuditRecord& aRecord, const AuditFilter& aFilter)
{
  const std::string& text = aFilter.text;
  return aRecord.revision >= aFilter.fromRevision &&
         (contains(aRecord.issuer, text) || contains(aRecord.commandId, text) ||
          contains(aRecord.kind, text) || contains(aRecord.object, text) ||
          contains(aRecord.before, text) || contains(aRecord.after, text) ||
          contains(std::string(enumName(aRecord.code)), text));
}

AuditTrail::AuditTrail(std::string aPath, std::size_t aMaxBytes)
  : mPath(std::move(aPath))
  , mMaxBytes(aMaxBytes)
{
}

AuditTrail::AuditTrail(AuditTrail&& aOther) noexcept
{
  *this = std::move(aOther);
}

AuditTrail& AuditTrail::operator=(AuditTrail&& aOther) noexcept
{
  std::swap(mPath, aOther.mPath);
  std::swap(mMaxBytes, aOther.mMaxBytes);
  std::swap(mFile, aOther.mFile);
  std::swap(mSizeBytes, aOther.mSizeBytes);
  std::swap(mLastRevision, aOther.mLastRevision);
  std::swap(mLastCount, aOther.mLastCount);
  std::swap(mPending, aOther.mPending);
  std::swap(mDroppedRecords, aOther.mDroppedRecords);
  return *this;
}

AuditTrail::~AuditTrail()
{
  closeFile();
}

void AuditTrail::closeFile()
{
  if (mFile >= 0) {
    ::close(mFile);
    mFile = -1;
  }
}

Result<AuditTrail> AuditTrail::open(const std::string& aPath, std::size_t aMaxBytes)
{
  AuditTrail out(aPath, aMaxBytes);
  BOOST_LEAF_CHECK(out.scanFiles());
  BOOST_LEAF_CHECK(out.openFile());
  return out;
}

// A member answers nothing before its trail is open, and a trail may be large, so only its end is
// read. search() reports damage of the rest.
Result<void> AuditTrail::scanFiles()
{
  BOOST_LEAF_AUTO(current, readEnd(mPath));
  mSizeBytes = current.completeBytes;
  mLastRevision = current.lastRevision;
  mLastCount = current.lastCount;
  if (current.hasEarlierRevision) {
    return {};
  }
  BOOST_LEAF_AUTO(old, readEnd(oldPathOf(mPath)));
  if (mLastCount == 0 || old.lastRevision == mLastRevision) {
    mLastRevision = old.lastRevision;
    mLastCount += old.lastCount;
  }
  return {};
}

Result<void> AuditTrail::openFile()
{
  mFile = ::open(mPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (mFile < 0) {
    return failSystem(mPath, "open");
  }
  if (::ftruncate(mFile, static_cast<off_t>(mSizeBytes)) != 0) {
    return failSystem(mPath, "truncate");
  }
  return syncFolder(mPath);
}

Result<void> AuditTrail::append(const std::vector<AuditRecord>& aRecords)
{
  addPending(aRecords);
  return writePending();
}

void AuditTrail::addPending(const std::vector<AuditRecord>& aRecords)
{
  std::size_t toSkip = mLastCount; // Records of mLastRevision that are already stored.
  for (const auto& it : aRecords) {
    if (it.revision < mLastRevision || (it.revision == mLastRevision && toSkip > 0)) {
      toSkip -= it.revision == mLastRevision ? 1 : 0;
      continue;
    }
    mPending.push_back(it);
  }
  while (mPending.size() > kMaxPendingRecords) {
    mPending.pop_front();
    ++mDroppedRecords;
  }
}

Result<void> AuditTrail::writePending()
{
  if (mPending.empty()) {
    return {};
  }
  std::string lines;
  Revision lastRevision = mLastRevision;
  std::size_t lastCount = mLastCount;
  for (const auto& it : mPending) {
    lines += toJson(it) + "\n";
    lastCount = it.revision == lastRevision ? lastCount + 1 : 1;
    lastRevision = it.revision;
  }
  if (mSizeBytes > 0 && mSizeBytes + lines.size() > mMaxBytes / 2) {
    BOOST_LEAF_CHECK(rotate());
  }
  BOOST_LEAF_CHECK(write(lines));
  mLastRevision = lastRevision;
  mLastCount = lastCount;
  mPending.clear();
  return {};
}

Result<void> AuditTrail::rotate()
{
  if (::rename(mPath.c_str(), oldPathOf(mPath).c_str()) != 0) {
    return failSystem(mPath, "rename");
  }
  closeFile();
  mSizeBytes = 0;
  return openFile();
}

Result<void> AuditTrail::write(const std::string& aLines)
{
  if (mFile < 0) { // An earlier rotation or write closed the file.
    BOOST_LEAF_CHECK(openFile());
  }
  std::size_t done = 0;
  while (done < aLines.size()) {
    const ssize_t n = ::write(mFile, aLines.data() + done, aLines.size() - done);
    if (n < 0 && errno != EINTR) {
      const int error = errno;
      // Without truncation, a retry would duplicate the lines written so far.
      if (::ftruncate(mFile, static_cast<off_t>(mSizeBytes)) != 0) {
        closeFile();
      }
      return fail(StorageError{ mPath, "write", error });
    }
    done += n < 0 ? 0 : static_cast<std::size_t>(n);
  }
  if (::fdatasync(mFile) != 0) {
    const int error = errno;
    closeFile(); // Reopening truncates the data that may not be on disk.
    return fail(StorageError{ mPath, "sync", error });
  }
  mSizeBytes += aLines.size();
  return {};
}

Result<std::vector<AuditRecord>> AuditTrail::search(const AuditFilter& aFilter) const
{
  std::deque<AuditRecord> found;
  const auto visit = [&](AuditRecord aRecord) {
    if (passesFilter(aRecord, aFilter)) {
      found.push_back(std::move(aRecord));
    }
    if (found.size() > aFilter.maxRecords) {
      found.pop_front();
    }
  };
  BOOST_LEAF_CHECK(forEachRecord(oldPathOf(mPath), 0, visit));
  BOOST_LEAF_CHECK(forEachRecord(mPath, 0, visit));
  return std::vector<AuditRecord>(std::make_move_iterator(found.begin()),
                                  std::make_move_iterator(found.end()));
}

} // namespace camphorcleat::fleet
