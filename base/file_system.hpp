#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The file operations that logs use; tests replace them by a simulated disk. As with system calls, a negative result
/// means failure and errno holds the reason.
class FileSystem {
 public:
  enum class OpenMode { append, truncate, directory };

  virtual ~FileSystem() = default;
  virtual int makeDirectory(string const& path) = 0;
  /// Opens a file for writing and creates it if it is missing, or opens a directory for syncing.
  virtual int open(string const& path, OpenMode mode) = 0;
  /// Writes some of the bytes; returns how many.
  virtual std::ptrdiff_t write(int file, string_view bytes) = 0;
  virtual int sync(int file) = 0;
  /// Syncs the contents of a file without all of its metadata (fdatasync).
  virtual int syncData(int file) = 0;
  virtual int close(int file) = 0;
  virtual int rename(string const& from, string const& to) = 0;
  virtual int remove(string const& path) = 0;
  /// Reads a whole file; fails with ENOENT if there is none.
  virtual int read(string const& path, string& out) = 0;
  /// Lists the names in a directory; fails with ENOENT if there is none.
  virtual int list(string const& directory, vector<string>& names) = 0;
};

/// The file system of the operating system.
FileSystem& systemFileSystem();

/// The errno of the call that has just failed; EIO if errno is 0.
int lastError();
/// Writes all bytes; returns 0 or errno.
int writeAll(FileSystem& files, int file, string_view bytes);
/// Syncs a directory, so that created, renamed and removed names in it are durable; returns 0 or errno.
int syncDirectory(FileSystem& files, string const& directory);
/// Syncs a file unless `errorBefore` is set, and closes it; returns 0 or the first errno.
int syncAndClose(FileSystem& files, int file, int errorBefore);
/// Replaces the contents of a file and syncs it; returns 0 or errno. Not atomic: write to a temporary name.
int writeSynced(FileSystem& files, string const& path, string_view bytes);

}  // namespace tealshelf
