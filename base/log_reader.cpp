#include "base/log_reader.hpp"

namespace tealshelf {

using namespace log_format;

namespace {
/// Reads one file, in the current format or in the earlier one without headers.
class LogFileReader {
 public:
  LogFileReader(RecoveredLog& result, string path, LogFileKind kind, string_view bytes)
      : result_(result), path_(std::move(path)), kind_(kind), bytes_(bytes) {}

  void read() {
    result_.totalBytes += bytes_.size();
    switch (header()) {
      case Header::valid:
        return readBatches(fileHeaderSize);
      case Header::none:
        return readWithoutHeader();
      case Header::damaged:
        if (findBatch(bytes_, 0) != string_view::npos || kind_ == LogFileKind::snapshot) addCorruption(0);
        return readBatches(0);
    }
  }

  /// True if the file has the current format and contains a batch.
  bool holdsBatches() const {
    return bytes_.substr(0, fileMagic.size()) == fileMagic && findBatch(bytes_, 0) != string_view::npos;
  }

 private:
  enum class Header { valid, none, damaged };

  Header header() const {
    std::size_t next = 0;
    if (bytes_.substr(0, fileMagic.size()) != fileMagic) {
      bool const withoutHeader = bytes_.empty() || recordAt(bytes_, 0, next) == RecordState::valid;
      bool const hasBatches = findBatch(bytes_, 0) != string_view::npos;
      return withoutHeader || !hasBatches ? Header::none : Header::damaged;
    }
    if (bytes_.size() < fileHeaderSize || checksum(bytes_.substr(0, 12)) != numberAt(bytes_, 12))
      return Header::damaged;
    std::uint32_t const format = numberAt(bytes_, 4);
    if (format != logFormat)
      throw Error(ErrorCode::unknownFormat,
                  path_ + " has format version " + std::to_string(format) + ", expected " + std::to_string(logFormat));
    return numberAt(bytes_, 8) == static_cast<std::uint32_t>(kind_) ? Header::valid : Header::damaged;
  }

  void addCorruption(std::size_t offset) {
    result_.corruptions.push_back(path_ + " at offset " + std::to_string(offset));
  }

  void addRecord(std::size_t offset, std::size_t end) {
    std::size_t const begin = offset + recordHeaderSize;
    result_.records.emplace_back(bytes_.substr(begin, end - begin));
  }

  /// Reads all batches. Damage without a later batch that proves a sync counts as torn, not corrupt; a snapshot was
  /// synced completely before it was renamed to its final name.
  void readBatches(std::size_t offset) {
    bool any = false;
    while (offset < bytes_.size()) {
      std::size_t const later = findBatch(bytes_, offset + 1);
      bool const provenSynced = later != string_view::npos || kind_ == LogFileKind::snapshot;
      if (isBatchHeader(bytes_, offset)) {
        any = true;
        offset = readBatch(offset, provenSynced);
        continue;
      }
      if (provenSynced)
        addCorruption(offset);
      else
        result_.tornBytes += bytes_.size() - offset;
      offset = std::min(later, bytes_.size());
    }
    if (kind_ == LogFileKind::snapshot && !any) addCorruption(offset);
  }

  /// Reads the batch at an offset; returns the offset at which to continue.
  std::size_t readBatch(std::size_t offset, bool provenSynced) {
    std::size_t const begin = offset + batchHeaderSize;
    std::size_t const length = numberAt(bytes_, offset + 4);
    std::size_t const end = std::min(begin + length, bytes_.size());
    string_view const bytesToEnd = bytes_.substr(0, end);
    for (offset = begin; offset < begin + length;) {
      std::size_t next = 0;
      RecordState const state = recordAt(bytesToEnd, offset, next);
      if (state == RecordState::valid) {
        addRecord(offset, next);
        offset = next;
        continue;
      }
      if (!provenSynced) {
        result_.tornBytes += end - offset;
        return end;
      }
      addCorruption(offset);
      if (state == RecordState::truncated) return std::min(findBatch(bytes_, begin), bytes_.size());
      offset = next;
    }
    return end;
  }

  /// Reads format version 0: records without file and batch headers.
  void readWithoutHeader() {
    std::size_t offset = 0, next = 0, afterNext = 0;
    for (; offset < bytes_.size(); offset = next) {
      RecordState const state = recordAt(bytes_, offset, next);
      if (state == RecordState::valid) {
        addRecord(offset, next);
        continue;
      }
      if (state == RecordState::truncated || recordAt(bytes_, next, afterNext) != RecordState::valid) break;
      addCorruption(offset);
    }
    if (kind_ == LogFileKind::snapshot && offset < bytes_.size()) addCorruption(offset);
    result_.tornBytes += bytes_.size() - offset;
  }

  RecoveredLog& result_;
  string path_;
  LogFileKind kind_;
  string_view bytes_;
};
}  // namespace

RecoveredLog readLog(FileSystem& files, string const& directory) {
  RecoveredLog result;
  vector<LogFile> const found = listLogFiles(files, directory);
  std::uint64_t newestSnapshot = 0;
  for (LogFile const& file : found) {
    result.lastNumber = std::max(result.lastNumber, file.number);
    if (file.kind == LogFileKind::snapshot) newestSnapshot = std::max(newestSnapshot, file.number);
  }
  for (LogFile const& file : found) {
    if (file.number < newestSnapshot) continue;
    string const path = logFilePath(directory, file.kind, file.number);
    string bytes;
    if (files.read(path, bytes)) throw Error(ErrorCode::diskFailed, path);
    LogFileReader reader(result, path, file.kind, bytes);
    // In the current format, a log file is always created after the snapshot with the same number.
    if (file.number > newestSnapshot && reader.holdsBatches())
      result.corruptions.push_back(path + ": the snapshot with the same number is missing");
    reader.read();
  }
  return result;
}

RecoveredLog readLog(string const& directory) {
  return readLog(systemFileSystem(), directory);
}

}  // namespace tealshelf
