#include "base/files.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace tealshelf {

namespace {
class SystemFiles : public FileLayer {
 public:
  int makeFolder(string const& path) override { return ::mkdir(path.c_str(), 0755); }
  int open(string const& path, Open how) override {
    if (how == Open::folder) return ::open(path.c_str(), O_RDONLY | O_DIRECTORY);
    int const start = how == Open::append ? O_APPEND : O_TRUNC;
    return ::open(path.c_str(), O_CREAT | O_WRONLY | start, 0644);
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
    char piece[1 << 16];
    ssize_t got = 0;
    while ((got = ::read(file, piece, sizeof piece)) > 0) out.append(piece, static_cast<std::size_t>(got));
    int const error = errno;
    ::close(file);
    errno = error;
    return got < 0 ? -1 : 0;
  }
  int list(string const& folder, vector<string>& names) override {
    names.clear();
    DIR* const handle = ::opendir(folder.c_str());
    if (!handle) return -1;
    errno = 0;
    while (dirent const* const entry = ::readdir(handle)) names.emplace_back(entry->d_name);
    int const error = errno;
    ::closedir(handle);
    errno = error;
    return error ? -1 : 0;
  }
};
/// The reason of the call that has just failed; never 0.
int reason() {
  return errno ? errno : EIO;
}
}  // namespace

FileLayer& systemFiles() {
  static SystemFiles files;
  return files;
}

int writeAll(FileLayer& files, int file, string_view bytes) {
  while (!bytes.empty()) {
    std::ptrdiff_t const count = files.write(file, bytes);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return reason();
    if (count == 0) return ENOSPC;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return 0;
}

int syncFolder(FileLayer& files, string const& folder) {
  int const file = files.open(folder, FileLayer::Open::folder);
  if (file < 0) return reason();
  int const failed = files.sync(file) ? reason() : 0;
  files.close(file);
  return failed;
}

int writeSynced(FileLayer& files, string const& path, string_view bytes) {
  int const file = files.open(path, FileLayer::Open::truncate);
  if (file < 0) return reason();
  int failed = writeAll(files, file, bytes);
  if (!failed && files.sync(file)) failed = reason();
  if (files.close(file) && !failed) failed = reason();
  return failed;
}

}  // namespace tealshelf
