#include "base/file_system.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace tealshelf {

namespace {
class SystemFileSystem : public FileSystem {
 public:
  int makeDirectory(string const& path) override { return ::mkdir(path.c_str(), 0755); }
  int open(string const& path, OpenMode mode) override {
    if (mode == OpenMode::directory) return ::open(path.c_str(), O_RDONLY | O_DIRECTORY);
    int const modeFlag = mode == OpenMode::append ? O_APPEND : O_TRUNC;
    return ::open(path.c_str(), O_CREAT | O_WRONLY | modeFlag, 0644);
  }
  std::ptrdiff_t write(int file, string_view bytes) override { return ::write(file, bytes.data(), bytes.size()); }
  int sync(int file) override { return ::fsync(file); }
  int syncData(int file) override { return ::fdatasync(file); }
  int close(int file) override { return ::close(file); }
  int rename(string const& from, string const& to) override { return ::rename(from.c_str(), to.c_str()); }
  int remove(string const& path) override { return ::unlink(path.c_str()); }
  int read(string const& path, string& out) override {
    out.clear();
    int const file = ::open(path.c_str(), O_RDONLY);
    if (file < 0) return -1;
    char buffer[1 << 16];
    ssize_t received = 0;
    while ((received = ::read(file, buffer, sizeof buffer)) > 0) out.append(buffer, static_cast<std::size_t>(received));
    int const error = errno;
    ::close(file);
    errno = error;
    return received < 0 ? -1 : 0;
  }
  int list(string const& directory, vector<string>& names) override {
    names.clear();
    DIR* const handle = ::opendir(directory.c_str());
    if (!handle) return -1;
    errno = 0;
    while (dirent const* const entry = ::readdir(handle)) names.emplace_back(entry->d_name);
    int const error = errno;
    ::closedir(handle);
    errno = error;
    return error ? -1 : 0;
  }
};
}  // namespace

FileSystem& systemFileSystem() {
  static SystemFileSystem instance;
  return instance;
}

int lastError() {
  return errno ? errno : EIO;
}

int writeAll(FileSystem& files, int file, string_view bytes) {
  while (!bytes.empty()) {
    std::ptrdiff_t const count = files.write(file, bytes);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return lastError();
    if (count == 0) return ENOSPC;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return 0;
}

int syncDirectory(FileSystem& files, string const& directory) {
  int const file = files.open(directory, FileSystem::OpenMode::directory);
  if (file < 0) return lastError();
  int const error = files.sync(file) ? lastError() : 0;
  files.close(file);
  return error;
}

int syncAndClose(FileSystem& files, int file, int error) {
  if (!error && files.sync(file)) error = lastError();
  if (files.close(file) && !error) error = lastError();
  return error;
}

int writeSynced(FileSystem& files, string const& path, string_view bytes) {
  int const file = files.open(path, FileSystem::OpenMode::truncate);
  if (file < 0) return lastError();
  return syncAndClose(files, file, writeAll(files, file, bytes));
}

}  // namespace tealshelf
