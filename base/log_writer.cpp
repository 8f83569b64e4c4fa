#include "base/log_writer.hpp"

namespace tealshelf {

namespace {
/// Approximate size of the batches of a snapshot.
constexpr std::size_t snapshotBatchBytes = 256u << 10;
}  // namespace

LogWriter::LogWriter(FileSystem& files, string directory, std::uint64_t lastNumber)
    : files_(files), directory_(std::move(directory)), number_(lastNumber) {}

LogWriter::~LogWriter() {
  closeLog();
}

void LogWriter::closeLog() {
  if (file_ >= 0) files_.close(file_);
  file_ = -1;
}

int LogWriter::append(string_view encodedRecords) {
  int error = writeAll(files_, file_, encodeBatch(encodedRecords));
  if (!error && files_.syncData(file_)) error = lastError();
  if (error) closeLog();
  return error;
}

int LogWriter::writeSnapshot(string const& path, vector<string>& records) {
  int const file = files_.open(path, FileSystem::OpenMode::truncate);
  if (file < 0) return lastError();
  int error = writeAll(files_, file, encodeFileHeader(LogFileKind::snapshot));
  string batch;
  for (string& record : records) {
    if (error) break;
    if (batch.size() > snapshotBatchBytes) {
      error = writeAll(files_, file, encodeBatch(batch));
      batch.clear();
    }
    batch += encodeRecord(record);
    string().swap(record);
  }
  if (!error) error = writeAll(files_, file, encodeBatch(batch));
  return syncAndClose(files_, file, error);
}

int LogWriter::compact(vector<string> records) {
  closeLog();
  ++number_;
  string const temporaryPath = directory_ + "/next";
  int error = writeSnapshot(temporaryPath, records);
  if (!error && files_.rename(temporaryPath, logFilePath(directory_, LogFileKind::snapshot, number_)))
    error = lastError();
  if (error) {
    files_.remove(temporaryPath);  // frees the space; if this fails, the next snapshot overwrites the file
    return error;
  }
  error = startLog();
  // One sync of the directory makes both new names durable.
  if (!error) error = syncDirectory(files_, directory_);
  if (error) {
    closeLog();
    return error;
  }
  removeOlderFiles();
  return 0;
}

int LogWriter::startLog() {
  file_ = files_.open(logFilePath(directory_, LogFileKind::log, number_), FileSystem::OpenMode::append);
  if (file_ < 0) return lastError();
  int const error = writeAll(files_, file_, encodeFileHeader(LogFileKind::log));
  if (error) return error;
  return files_.sync(file_) ? lastError() : 0;
}

void LogWriter::removeOlderFiles() {
  removalError_ = 0;
  try {
    for (LogFile const& file : listLogFiles(files_, directory_)) {
      if (file.number >= number_) continue;
      if (files_.remove(logFilePath(directory_, file.kind, file.number))) removalError_ = lastError();
    }
  } catch (Error const&) {
    removalError_ = lastError();
  }
}

}  // namespace tealshelf
