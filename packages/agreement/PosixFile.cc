// EINTR is retried everywhere except after fsync: the kernel may have dropped the data after a
// failed fsync, so a later success would not mean that the data is on the disk.

#include "agreement/PosixFile.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace camphorcleat::agreement {

namespace {

constexpr mode_t kFileMode = 0600;
constexpr std::size_t kReadBytes = 256U << 10U;

int openRetrying(const std::string& aPath, int aFlags)
{
  int descriptor = -1;
  do {
    descriptor = ::open(aPath.c_str(), aFlags | O_CLOEXEC, kFileMode);
  } while (descriptor < 0 && errno == EINTR);
  return descriptor;
}

} // namespace

PosixFile::PosixFile(std::string aPath, int aDescriptor)
  : mPath(std::move(aPath))
  , mDescriptor(aDescriptor)
{
}

PosixFile::PosixFile(PosixFile&& aOther) noexcept
  : mPath(std::move(aOther.mPath))
  , mDescriptor(std::exchange(aOther.mDescriptor, -1))
{
}

PosixFile& PosixFile::operator=(PosixFile&& aOther) noexcept
{
  if (this != &aOther) {
    close();
    mPath = std::move(aOther.mPath);
    mDescriptor = std::exchange(aOther.mDescriptor, -1);
  }
  return *this;
}

PosixFile::~PosixFile()
{
  close();
}

void PosixFile::close()
{
  if (mDescriptor >= 0) {
    ::close(mDescriptor);
    mDescriptor = -1;
  }
}

StorageError PosixFile::error(const char* aOperation) const
{
  return StorageError{ mPath, aOperation, errno };
}

Result<PosixFile> PosixFile::openForAppend(const std::string& aPath)
{
  PosixFile file(aPath, openRetrying(aPath, O_RDWR | O_CREAT | O_APPEND));
  if (!file.isOpen()) {
    return fail(file.error("opening"));
  }
  return file;
}

Result<PosixFile> PosixFile::lock(const std::string& aPath)
{
  PosixFile file(aPath, openRetrying(aPath, O_RDWR | O_CREAT));
  if (!file.isOpen()) {
    return fail(file.error("opening"));
  }
  if (::flock(file.mDescriptor, LOCK_EX | LOCK_NB) != 0) {
    return fail(file.error("locking"));
  }
  return file;
}

Result<void> PosixFile::append(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t written = ::write(mDescriptor, aBytes.data(), aBytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return fail(error("writing"));
    }
    aBytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

Result<void> PosixFile::sync()
{
  if (::fsync(mDescriptor) != 0) {
    return fail(error("syncing"));
  }
  return {};
}

Result<void> PosixFile::truncateTo(std::uint64_t aSizeBytes)
{
  if (::ftruncate(mDescriptor, static_cast<off_t>(aSizeBytes)) != 0) {
    return fail(error("truncating"));
  }
  return sync();
}

Result<std::string> readFile(const std::string& aPath, std::uint64_t aMaxBytes)
{
  const int descriptor = openRetrying(aPath, O_RDONLY);
  if (descriptor < 0) {
    return fail(StorageError{ aPath, "opening", errno });
  }
  std::string out;
  ssize_t count = 0;
  do {
    const std::size_t size = out.size();
    out.resize(size + kReadBytes);
    do {
      count = ::read(descriptor, out.data() + size, kReadBytes);
    } while (count < 0 && errno == EINTR);
    out.resize(size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  } while (count > 0 && out.size() <= aMaxBytes);
  const int code = count < 0 ? errno : EFBIG;
  ::close(descriptor);
  if (count < 0 || out.size() > aMaxBytes) {
    return fail(StorageError{ aPath, "reading", code });
  }
  return out;
}

Result<void> replaceFile(const std::string& aFolder, const std::string& aName,
                         std::string_view aBytes)
{
  const std::string path = aFolder + "/" + aName;
  const std::string temporary = path + ".tmp";
  BOOST_LEAF_CHECK(removeFile(temporary));
  {
    BOOST_LEAF_AUTO(file, PosixFile::openForAppend(temporary));
    BOOST_LEAF_CHECK(file.append(aBytes));
    BOOST_LEAF_CHECK(file.sync());
  }
  if (::rename(temporary.c_str(), path.c_str()) != 0) {
    return fail(StorageError{ path, "renaming", errno });
  }
  return syncFolder(aFolder);
}

Result<void> removeFile(const std::string& aPath)
{
  if (::unlink(aPath.c_str()) != 0 && errno != ENOENT) {
    return fail(StorageError{ aPath, "removing", errno });
  }
  return {};
}

Result<void> syncFolder(const std::string& aFolder)
{
  const int descriptor = openRetrying(aFolder, O_RDONLY | O_DIRECTORY);
  if (descriptor < 0) {
    return fail(StorageError{ aFolder, "opening", errno });
  }
  const bool isSynced = ::fsync(descriptor) == 0;
  const int code = errno;
  ::close(descriptor);
  if (!isSynced) {
    return fail(StorageError{ aFolder, "syncing", code });
  }
  return {};
}

Result<void> createFolder(const std::string& aFolder)
{
  std::error_code ec;
  const std::filesystem::path path = std::filesystem::absolute(aFolder, ec);
  if (!ec && std::filesystem::create_directories(path, ec) && path.has_parent_path()) {
    return syncFolder(path.parent_path().string());
  }
  if (ec) {
    return fail(StorageError{ aFolder, "creating", ec.value() });
  }
  return {};
}

Result<std::vector<std::string>> listFolder(const std::string& aFolder)
{
  std::error_code ec;
  std::vector<std::string> out;
  for (auto it = std::filesystem::directory_iterator(aFolder, ec);
       !ec && it != std::filesystem::directory_iterator(); it.increment(ec)) {
    out.push_back(it->path().filename().string());
  }
  if (ec) {
    return fail(StorageError{ aFolder, "listing", ec.value() });
  }
  std::sort(out.begin(), out.end());
  return out;
}

} // namespace camphorcleat::agreement
