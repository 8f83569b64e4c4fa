#include "base/log_reader.hpp"

namespace tealshelf {

using namespace log_format;

namespace {
/// Reads one file, of the present format or of the one without a header.
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

  /// True if the file has the present format and holds anything.
  bool holdsBatches() const {
    return bytes_.substr(0, fileMagic.size()) == fileMagic && findBatch(bytes_, 0) != string_view::npos;
  }

 private:
  enum class Header { valid, none, damaged };

  Header header() const {
    std::size_t next = 0;
    if (bytes_.substr(0, fileMagic.size()) != fileMagic) {
      bool const earlyFormat = bytes_.empty() || recordAt(bytes_, 0, next) == RecordState::good;
      bool const hasBatches = findBatch(bytes_, 0) != string_view::npos;
      return earlyFormat || !hasBatches ? Header::none : Header::damaged;
    }
    if (bytes_.size() < fileHeaderSize || checksum(bytes_.substr(0, 12)) != numberAt(bytes_, 12))
      return Header::damaged;
    std::uint32_t const format = numberAt(bytes_, 4);
    if (format != logFormat) throw Error(ErrorCode::unknownFormat, path_ + " has format " + std::to_string(format));
    return numberAt(bytes_, 8) == static_cast<std::uint32_t>(kind_) ? Header::valid : Header::damaged;
  }

  void addCorruption(std::size_t place) { result_.corruptions.push_back(path_ + " at " + std::to_string(place)); }

  void addRecord(std::size_t place, std::size_t end) {
    std::size_t const begin = place + recordHeaderSize;
    result_.records.emplace_back(bytes_.substr(begin, end - begin));
  }

  /// Reads batch after batch. What no later batch proves to have been synced is torn, not corrupt; a snapshot was
  /// synced as a whole before it got its name.
  void readBatches(std::size_t place) {
    bool any = false;
    while (place < bytes_.size()) {
      std::size_t const later = findBatch(bytes_, place + 1);
      bool const provenSynced = later != string_view::npos || kind_ == LogFileKind::snapshot;
      if (isBatchHeader(bytes_, place)) {
        any = true;
        place = readBatch(place, provenSynced);
        continue;
      }
      if (provenSynced)
        addCorruption(place);
      else
        result_.tornBytes += bytes_.size() - place;
      place = std::min(later, bytes_.size());
    }
    if (kind_ == LogFileKind::snapshot && !any) addCorruption(place);
  }

  /// Reads the batch at a place; gives where to go on.
  std::size_t readBatch(std::size_t place, bool provenSynced) {
    std::size_t const begin = place + batchHeaderSize;
    std::size_t const length = numberAt(bytes_, place + 4);
    std::size_t const end = std::min(begin + length, bytes_.size());
    string_view const upToEnd = bytes_.substr(0, end);
    for (place = begin; place < begin + length;) {
      std::size_t next = 0;
      RecordState const state = recordAt(upToEnd, place, next);
      if (state == RecordState::good) {
        addRecord(place, next);
        place = next;
        continue;
      }
      if (!provenSynced) {
        result_.tornBytes += end - place;
        return end;
      }
      addCorruption(place);
      if (state == RecordState::cut) return std::min(findBatch(bytes_, begin), bytes_.size());
      place = next;
    }
    return end;
  }

  /// The format of earlier releases: records, without headers.
  void readWithoutHeader() {
    std::size_t place = 0, next = 0, afterNext = 0;
    for (; place < bytes_.size(); place = next) {
      RecordState const state = recordAt(bytes_, place, next);
      if (state == RecordState::good) {
        addRecord(place, next);
        continue;
      }
      if (state == RecordState::cut || recordAt(bytes_, next, afterNext) != RecordState::good) break;
      addCorruption(place);
    }
    if (kind_ == LogFileKind::snapshot && place < bytes_.size()) addCorruption(place);
    result_.tornBytes += bytes_.size() - place;
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
    // A log of the present format begins together with the snapshot of its number.
    if (file.number > newestSnapshot && reader.holdsBatches())
      result.corruptions.push_back(path + " without its snapshot");
    reader.read();
  }
  return result;
}

RecoveredLog readLog(string const& directory) {
  return readLog(systemFileSystem(), directory);
}

}  // namespace tealshelf
