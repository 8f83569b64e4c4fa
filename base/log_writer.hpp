#pragma once
#include "base/log_format.hpp"

namespace tealshelf {

/// Writes the snapshots and the log of one directory and looks at the result of every call.
///
/// A log is written on only while everything before was synced. After a failure the kernel may have dropped what it
/// couldn't write and report the next sync as good, so nothing more is written to that file: the whole state goes into
/// a fresh snapshot with a fresh log. Not thread safe.
class LogWriter {
 public:
  LogWriter(FileSystem& files, string directory, std::uint64_t lastNumber);
  ~LogWriter();
  LogWriter(LogWriter const&) = delete;
  LogWriter& operator=(LogWriter const&) = delete;

  /// True if append() may be used; else compact() has to come first.
  bool isOpen() const { return file_ >= 0; }
  /// Adds a batch of encoded records and syncs it; gives 0 or errno. REQUIRES: isOpen().
  int append(string_view encodedRecords);
  /// Puts the whole state in a snapshot, begins a log after it and only then removes what came before. Gives 0 or
  /// errno; after a failure all files of before still stand. Each record is freed once it is written, so that the state
  /// isn't held twice for longer than it must.
  int compact(vector<string> records);
  /// Why an old file couldn't be removed at the last renewal; 0 if all were. Nothing depends on the removal but space,
  /// and the next renewal tries again.
  int removalError() const { return removalError_; }

 private:
  int writeSnapshot(string const& path, vector<string>& records);
  int startLog();
  void removeOlderFiles();
  /// Closes the log for good. All that counts was synced before, so the result of the close tells nothing more.
  void closeLog();

  FileSystem& files_;
  string directory_;
  std::uint64_t number_;
  int file_ = -1;
  int removalError_ = 0;
};

}  // namespace tealshelf
