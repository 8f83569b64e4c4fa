#pragma once
#include "base/tealshelf.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace tealshelf {

/// What reading a folder of logs found.
struct Found {
  vector<string> records;    ///< snapshot records, then log records, in order
  std::uint64_t torn = 0;    ///< bytes cut from a torn tail
  vector<string> corrupt;    ///< places of records broken in the middle
  std::uint64_t lastNo = 0;  ///< highest segment number seen
  std::uint64_t bytes = 0;
};
/// Reads a folder without changing it.
Found readLogs(string const& dir);

/// A log in segments with snapshots beside it, written and synced by a thread of its own.
class DiskLog {
 public:
  /// Gives the records of a snapshot of the whole state.
  using Snapshot = std::function<vector<string>()>;
  DiskLog(asio::io_context& io, string dir, std::size_t turnAt, Snapshot snap);
  ~DiskLog();
  /// What stood on the disk at the start.
  Found const& found() const { return found_; }
  void forget() { found_ = Found(); }
  /// Queues a record; it is on the disk once a later synced() calls back.
  void append(string record);
  /// Calls back on the io thread when everything appended so far is synced, folder included.
  void synced(std::function<void()> f);
  /// Waits until everything appended so far is synced.
  Task<void> settled();
  Ms lastSync() const { return lastSync_; }

 private:
  struct Job {
    string bytes;
    vector<std::function<void()>> calls;
    bool turn = false;
  };
  void run();
  void hand();
  asio::io_context& io_;
  string dir_;
  std::size_t turnAt_;
  Snapshot snap_;
  Found found_;
  std::uint64_t no_ = 0;
  std::size_t written_ = 0;
  Job next_;
  bool inWork_ = false, stop_ = false;
  std::mutex lock_;
  std::condition_variable wake_;
  std::optional<Job> work_;  ///< ring of one: the duty takes a whole batch at a time
  Ms lastSync_{0};
  std::thread thread_;
};

/// The identity of the disk in a folder, made when the folder is empty.
Identity identityOf(string const& dir, bool& fresh);

}  // namespace tealshelf
