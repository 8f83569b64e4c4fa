#include "base/log_writer.hpp"

namespace tealshelf {

namespace {
constexpr std::size_t snapshotBatch = 256u << 10;  ///< a snapshot is written in batches of about so many bytes

int reason() {
  return errno ? errno : EIO;
}
}  // namespace

LogWriter::LogWriter(FileLayer& files, string folder, std::uint64_t lastNumber)
    : files_(files), folder_(std::move(folder)), number_(lastNumber) {}
LogWriter::~LogWriter() {
  leave();
}

/// Closes the log for good. All that counts was synced before, so the result tells nothing more.
void LogWriter::leave() {
  if (file_ >= 0) files_.close(file_);
  file_ = -1;
}

int LogWriter::append(string_view framedRecords) {
  int failed = writeAll(files_, file_, batchOf(framedRecords));
  if (!failed && files_.syncData(file_)) failed = reason();
  if (failed) leave();
  return failed;
}

int LogWriter::writeSnapshot(string const& path, vector<string>& records) {
  int const file = files_.open(path, FileLayer::Open::truncate);
  if (file < 0) return reason();
  int failed = writeAll(files_, file, fileHead(LogFileKind::snapshot));
  string batch;
  for (std::size_t i = 0; i <= records.size() && !failed; ++i) {
    bool const last = i == records.size();
    if (last || batch.size() > snapshotBatch) {
      failed = writeAll(files_, file, batchOf(batch));
      batch.clear();
    }
    if (last) continue;
    batch += framed(records[i]);
    string().swap(records[i]);
  }
  if (!failed && files_.sync(file)) failed = reason();
  if (files_.close(file) && !failed) failed = reason();
  return failed;
}

int LogWriter::renew(vector<string> records) {
  leave();
  ++number_;
  string const next = folder_ + "/next";
  int failed = writeSnapshot(next, records);
  if (!failed && files_.rename(next, logPath(folder_, LogFileKind::snapshot, number_))) failed = reason();
  if (failed) {
    files_.remove(next);  // gives the space back; it is overwritten next time if this fails
    return failed;
  }
  failed = beginLog();
  // One sync of the folder makes both new names last.
  if (!failed) failed = syncFolder(files_, folder_);
  if (failed) {
    leave();
    return failed;
  }
  removeOlder();
  return 0;
}

int LogWriter::beginLog() {
  file_ = files_.open(logPath(folder_, LogFileKind::log, number_), FileLayer::Open::append);
  if (file_ < 0) return reason();
  int const failed = writeAll(files_, file_, fileHead(LogFileKind::log));
  if (failed) return failed;
  return files_.sync(file_) ? reason() : 0;
}

void LogWriter::removeOlder() {
  removalError_ = 0;
  try {
    for (LogFile const& file : logFiles(files_, folder_)) {
      if (file.number >= number_) continue;
      if (files_.remove(logPath(folder_, file.kind, file.number))) removalError_ = reason();
    }
  } catch (Error const&) {
    removalError_ = reason();
  }
}

}  // namespace tealshelf
