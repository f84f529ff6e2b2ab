// File operations with explicit syncs. All failures are reported as StorageError.
//
// Calls POSIX directly, because QFile and iostreams can't fsync a file or folder.

#ifndef CAMPHORCLEAT_AGREEMENT_POSIXFILE_H_
#define CAMPHORCLEAT_AGREEMENT_POSIXFILE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/Errors.h"

namespace camphorcleat::agreement {

/// An open file, closed with the object. Not thread-safe.
class PosixFile
{
public:
  PosixFile() = default;
  PosixFile(PosixFile&& aOther) noexcept;
  PosixFile& operator=(PosixFile&& aOther) noexcept;
  ~PosixFile();

  /// Opens for appending; creates the file if it doesn't exist. Fails with StorageError.
  static Result<PosixFile> openForAppend(const std::string& aPath);

  /// Opens a file and locks it against other processes; the lock is released with the object. Fails
  /// with StorageError (EWOULDBLOCK if another holds the lock).
  static Result<PosixFile> lock(const std::string& aPath);

  bool isOpen() const { return mDescriptor >= 0; }

  /// Writes all bytes at the end of the file. Fails with StorageError; part of the bytes may have
  /// been written then.
  Result<void> append(std::string_view aBytes);

  /// Flushes the file's content to the disk (fsync). Fails with StorageError.
  Result<void> sync();

  /// Truncates the file to a size and syncs it. Fails with StorageError.
  Result<void> truncateTo(std::uint64_t aSizeBytes);

private:
  PosixFile(std::string aPath, int aDescriptor);
  StorageError error(const char* aOperation) const;
  void close();

  std::string mPath;
  int mDescriptor = -1;
};

/// Reads a whole file of at most aMaxBytes. Fails with StorageError (EFBIG if it is larger).
/// Thread-safe.
Result<std::string> readFile(const std::string& aPath, std::uint64_t aMaxBytes);

/// Replaces a file's content atomically and syncs file and folder. Fails with StorageError. Must
/// not be called concurrently for the same file, since it first writes to a file with the suffix
/// ".tmp".
Result<void> replaceFile(const std::string& aFolder, const std::string& aName,
                         std::string_view aBytes);

/// Removes a file if it exists. Fails with StorageError. Thread-safe.
Result<void> removeFile(const std::string& aPath);

/// Flushes the folder's directory entries to the disk (fsync). Fails with StorageError.
/// Thread-safe.
Result<void> syncFolder(const std::string& aFolder);

/// Creates a folder if it doesn't exist and syncs its parent. Fails with StorageError. Thread-safe.
Result<void> createFolder(const std::string& aFolder);

/// Returns the names of the files in a folder, sorted. Fails with StorageError. Thread-safe.
Result<std::vector<std::string>> listFolder(const std::string& aFolder);

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_POSIXFILE_H_
