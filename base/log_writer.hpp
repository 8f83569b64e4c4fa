#pragma once
#include "base/log_format.hpp"

namespace tealshelf {

/// Writes the snapshots and the log of one directory and checks the result of every call.
///
/// A log is appended to only while every earlier sync succeeded. After a failure the kernel may have dropped dirty
/// pages and may report success for the next sync, so that file is no longer written: the whole state goes into a new
/// snapshot with a new log. Not thread safe.
class LogWriter {
 public:
  LogWriter(FileSystem& files, string directory, std::uint64_t lastNumber);
  ~LogWriter();
  LogWriter(LogWriter const&) = delete;
  LogWriter& operator=(LogWriter const&) = delete;

  /// True if append() may be called; otherwise compact() must be called first.
  bool isOpen() const { return file_ >= 0; }
  /// Appends a batch of encoded records and syncs it; returns 0 or errno. REQUIRES: isOpen().
  int append(string_view encodedRecords);
  /// Writes the whole state to a snapshot, starts a log after it and only then removes older files. Returns 0 or errno;
  /// after a failure all older files still exist. Each record is freed once it is written, so that the state is held
  /// twice for as short as possible.
  int compact(vector<string> records);
  /// The errno of a failed removal of an older file in the last compact(); 0 if all were removed. A failure only costs
  /// space, and the next compact() retries.
  int removalError() const { return removalError_; }

 private:
  int writeSnapshot(string const& path, vector<string>& records);
  int startLog();
  void removeOlderFiles();
  /// Closes the log file. Everything acknowledged is synced already, so the result of close() is ignored.
  void closeLog();

  FileSystem& files_;
  string directory_;
  std::uint64_t number_;
  int file_ = -1;
  int removalError_ = 0;
};

}  // namespace tealshelf
