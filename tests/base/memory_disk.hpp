#pragma once
#include "base/file_system.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>

namespace tealshelf::sim {

/// An in-memory disk that can fail calls, hang, and lose power.
class MemoryDisk : public FileSystem {
 public:
  explicit MemoryDisk(std::uint64_t seed) : random_(seed) {}

  std::size_t failFrom = ~std::size_t(0), failCount = 0;  ///< the range of calls that fail, by call number
  std::atomic<std::size_t> calls{0};
  bool losesUnsyncedDirectories = false;  ///< a new directory is lost with the power unless its parent was synced

  /// Loses power: each unsynced name or page of a write independently survives or is lost.
  void losePower() {
    for (auto const& [name, file] : files_)
      if (dice(2)) durableFiles_[name] = file;
    for (auto i = durableFiles_.begin(); i != durableFiles_.end();)
      i = !files_.count(i->first) && dice(2) ? durableFiles_.erase(i) : std::next(i);
    for (auto& [name, file] : durableFiles_) {
      for (Write const& write : file->unsynced)
        for (std::size_t offset = 0; offset < write.bytes.size(); offset += page)
          if (dice(3)) put(file->synced, write.offset + offset, string_view(write.bytes).substr(offset, page));
      file->cached = file->synced;
      file->unsynced.clear();
    }
    for (string const& directory : unsyncedDirectories_)
      if (losesUnsyncedDirectories)
        std::erase_if(durableFiles_, [&](auto const& item) { return item.first.starts_with(directory + "/"); });
    unsyncedDirectories_.clear();
    files_ = durableFiles_;
  }
  /// While on, calls block.
  void hang(bool enabled) {
    std::lock_guard<std::mutex> const guard(mutex_);
    hangs_ = enabled;
    wake_.notify_all();
  }
  void refuse(bool enabled) {
    std::lock_guard<std::mutex> const guard(mutex_);
    refuses_ = enabled;
  }
  string& bytes(string const& path) { return files_[path]->cached; }
  void place(string const& path, string bytes) {
    files_[path] = std::make_shared<File>(File{bytes, bytes, {}});
    durableFiles_[path] = files_[path];
  }
  std::map<string, string> all() const {
    std::map<string, string> out;
    for (auto const& [name, file] : files_) out[name] = file->cached;
    return out;
  }

  int makeDirectory(string const& path) override {
    if (fails()) return -1;
    unsyncedDirectories_.insert(path);
    return 0;
  }
  int open(string const& path, OpenMode mode) override {
    if (fails()) return -1;
    if (mode != OpenMode::directory) {
      if (!files_.count(path)) files_[path] = std::make_shared<File>();
      if (mode == OpenMode::truncate) files_[path] = std::make_shared<File>();
    }
    open_.push_back(mode == OpenMode::directory ? nullptr : files_[path]);
    lastOpenedPath_ = path;
    return static_cast<int>(open_.size() - 1);
  }
  std::ptrdiff_t write(int file, string_view bytes) override {
    // Half of the failing writes are partial instead, and the calls after them fail.
    bool const failed = fails();
    if (failed && dice(2)) return -1;
    if (failed) failFrom = calls.load(), failCount = std::max<std::size_t>(failCount, 1);
    std::size_t const taken = failed ? dice(bytes.size()) + 1 : bytes.size();
    File& target = *open_[static_cast<std::size_t>(file)];
    target.unsynced.push_back({target.cached.size(), string(bytes.substr(0, taken))});
    target.cached.append(bytes.substr(0, taken));
    return static_cast<std::ptrdiff_t>(taken);
  }
  /// A failed sync drops the unsynced writes; the next sync succeeds without them.
  int sync(int file) override {
    bool const failed = fails();
    std::shared_ptr<File> const target = open_[static_cast<std::size_t>(file)];
    if (!target) {
      if (!failed) durableFiles_ = files_;
      if (!failed)
        std::erase_if(unsyncedDirectories_,
                      [this](string const& directory) { return isIn(directory, lastOpenedPath_); });
    } else {
      if (!failed)
        for (Write const& write : target->unsynced) put(target->synced, write.offset, write.bytes);
      target->unsynced.clear();
    }
    return failed ? -1 : 0;
  }
  int syncData(int file) override { return sync(file); }
  int close(int) override { return fails() ? -1 : 0; }
  int rename(string const& from, string const& to) override {
    bool const failed = fails();
    if (failed && dice(2)) return -1;
    files_[to] = files_[from];
    files_.erase(from);
    return failed ? -1 : 0;
  }
  int remove(string const& path) override {
    if (fails()) return -1;
    errno = ENOENT;
    return files_.erase(path) ? 0 : -1;
  }
  int read(string const& path, string& out) override {
    errno = ENOENT;
    if (!files_.count(path)) return -1;
    out = files_[path]->cached;
    return 0;
  }
  int list(string const& directory, vector<string>& names) override {
    names.clear();
    for (auto const& [name, file] : files_) names.push_back(name.substr(directory.size() + 1));
    return 0;
  }
  std::size_t dice(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_); }

 private:
  static constexpr std::size_t page = 16;
  struct Write {
    std::size_t offset;
    string bytes;
  };
  struct File {
    string synced, cached;
    vector<Write> unsynced;
  };
  static void put(string& target, std::size_t offset, string_view bytes) {
    if (target.size() < offset + bytes.size()) target.resize(offset + bytes.size());
    target.replace(offset, bytes.size(), bytes);
  }
  static bool isIn(string const& path, string const& directory) {
    return path.starts_with(directory + "/") && path.find('/', directory.size() + 1) == string::npos;
  }
  bool fails() {
    std::unique_lock<std::mutex> guard(mutex_);
    wake_.wait(guard, [this] { return !hangs_; });
    bool const failed = refuses_ || (calls >= failFrom && calls - failFrom < failCount);
    ++calls;
    if (failed) errno = dice(2) ? ENOSPC : EIO;
    return failed;
  }

  std::mt19937_64 random_;
  std::map<string, std::shared_ptr<File>> files_, durableFiles_;  ///< by name: current, and after a loss of power
  vector<std::shared_ptr<File>> open_;                            ///< null for a directory
  string lastOpenedPath_;
  std::set<string> unsyncedDirectories_;  ///< created, but the parent isn't synced
  std::mutex mutex_;
  std::condition_variable wake_;
  bool hangs_ = false, refuses_ = false;
};

}  // namespace tealshelf::sim
