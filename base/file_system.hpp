#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The calls on files that logs make; tests put a simulated disk in their place. As with the system's calls, a negative
/// result means failure and errno tells why.
class FileSystem {
 public:
  enum class OpenMode { append, truncate, directory };

  virtual ~FileSystem() = default;
  virtual int makeDirectory(string const& path) = 0;
  /// Opens a file for writing, made if it is missing, or a directory for syncing.
  virtual int open(string const& path, OpenMode mode) = 0;
  /// Writes some of the bytes; gives how many.
  virtual std::ptrdiff_t write(int file, string_view bytes) = 0;
  virtual int sync(int file) = 0;
  /// Syncs the bytes of a file, not all of what is known about it.
  virtual int syncData(int file) = 0;
  virtual int close(int file) = 0;
  virtual int rename(string const& from, string const& to) = 0;
  virtual int remove(string const& path) = 0;
  /// Reads a whole file; ENOENT if there is none.
  virtual int read(string const& path, string& out) = 0;
  /// Lists the names in a directory; ENOENT if there is none.
  virtual int list(string const& directory, vector<string>& names) = 0;
};

/// The files of the system.
FileSystem& systemFileSystem();

/// The errno of the call that has just failed; never 0.
int lastError();
/// Writes all bytes; gives 0 or the errno of the failure.
int writeAll(FileSystem& files, int file, string_view bytes);
/// Syncs a directory, so that names made, renamed or removed in it last; gives 0 or errno.
int syncDirectory(FileSystem& files, string const& directory);
/// Syncs a file, unless something failed before, and closes it; gives 0 or the first errno.
int syncAndClose(FileSystem& files, int file, int errorBefore);
/// Writes a file under a name of its own and syncs it; gives 0 or errno.
int writeSynced(FileSystem& files, string const& path, string_view bytes);

}  // namespace tealshelf
