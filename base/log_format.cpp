#include "base/log_format.hpp"

#include <boost/crc.hpp>

namespace tealshelf {

namespace {
constexpr string_view fileMark = "TSLG", batchMark = "TSBT";
constexpr std::size_t fileHeadSize = 16, batchHeadSize = 12, frameHeadSize = 8;

std::uint32_t checksum(string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}
void put(string& out, std::uint32_t value) {
  char bytes[4];
  std::memcpy(bytes, &value, sizeof bytes);
  out.append(bytes, sizeof bytes);
}
std::uint32_t number(string_view bytes, std::size_t at) {
  std::uint32_t value = 0;
  std::memcpy(&value, bytes.data() + at, sizeof value);
  return value;
}

enum class Frame { good, broken, cut };
/// Looks at the frame at a place; next is where the one after it begins.
Frame frameAt(string_view bytes, std::size_t at, std::size_t& next) {
  if (at + frameHeadSize > bytes.size()) return Frame::cut;
  std::size_t const length = number(bytes, at);
  if (length == 0 || length > bytes.size() - at - frameHeadSize) return Frame::cut;
  next = at + frameHeadSize + length;
  bool const good = checksum(bytes.substr(at + frameHeadSize, length)) == number(bytes, at + 4);
  return good ? Frame::good : Frame::broken;
}
bool batchHeadAt(string_view bytes, std::size_t at) {
  if (at + batchHeadSize > bytes.size() || bytes.substr(at, 4) != batchMark) return false;
  return checksum(bytes.substr(at, 8)) == number(bytes, at + 8);
}
/// Where the next whole head of a batch stands; npos if there is none.
std::size_t nextBatch(string_view bytes, std::size_t from) {
  std::size_t at = bytes.find(batchMark, from);
  while (at != string_view::npos && !batchHeadAt(bytes, at)) at = bytes.find(batchMark, at + 1);
  return at;
}

/// One file of the present format, or of the one without a header.
class Reader {
 public:
  Reader(Found& found, string path, LogFileKind kind, string_view bytes)
      : found_(found), path_(std::move(path)), kind_(kind), bytes_(bytes) {}

  void read() {
    found_.bytes += bytes_.size();
    switch (head()) {
      case Head::present:
        return readBatches(fileHeadSize);
      case Head::none:
        return readWithoutHead();
      case Head::broken:
        if (nextBatch(bytes_, 0) != string_view::npos || kind_ == LogFileKind::snapshot) corrupt(0);
        return readBatches(0);
    }
  }
  /// True if the file has the present format and holds anything.
  bool filled() const { return bytes_.substr(0, 4) == fileMark && nextBatch(bytes_, 0) != string_view::npos; }

 private:
  enum class Head { present, none, broken };
  Head head() const {
    std::size_t next = 0;
    if (bytes_.substr(0, 4) != fileMark) {
      bool const early = bytes_.empty() || frameAt(bytes_, 0, next) == Frame::good;
      bool const batches = nextBatch(bytes_, 0) != string_view::npos;
      return early || !batches ? Head::none : Head::broken;
    }
    if (bytes_.size() < fileHeadSize || checksum(bytes_.substr(0, 12)) != number(bytes_, 12)) return Head::broken;
    if (number(bytes_, 4) != logFormat)
      throw Error(Code::unknownFormat, path_ + " has format " + std::to_string(number(bytes_, 4)));
    return number(bytes_, 8) == static_cast<std::uint32_t>(kind_) ? Head::present : Head::broken;
  }
  void corrupt(std::size_t at) { found_.corrupt.push_back(path_ + " at " + std::to_string(at)); }

  /// Reads batch after batch. What no later batch proves to have been synced is torn, not corrupt;
  /// a snapshot was synced as a whole before it got its name.
  void readBatches(std::size_t at) {
    std::size_t batches = 0;
    while (at < bytes_.size()) {
      std::size_t const later = nextBatch(bytes_, at + 1);
      bool const proven = later != string_view::npos || kind_ == LogFileKind::snapshot;
      if (!batchHeadAt(bytes_, at)) {
        if (proven)
          corrupt(at);
        else
          found_.torn += bytes_.size() - at;
        at = std::min(later, bytes_.size());
        continue;
      }
      ++batches;
      at = readBatch(at, proven);
    }
    if (kind_ == LogFileKind::snapshot && !batches) corrupt(at);
  }
  std::size_t readBatch(std::size_t at, bool proven) {
    std::size_t const begin = at + batchHeadSize, length = number(bytes_, at + 4);
    std::size_t const end = std::min(begin + length, bytes_.size());
    string_view const batch = bytes_.substr(0, end);
    for (at = begin; at < begin + length;) {
      std::size_t next = 0;
      Frame const frame = frameAt(batch, at, next);
      if (frame == Frame::good) {
        found_.records.emplace_back(batch.substr(at + frameHeadSize, next - at - frameHeadSize));
        at = next;
        continue;
      }
      if (!proven) {
        found_.torn += end - at;
        return end;
      }
      corrupt(at);
      if (frame == Frame::cut) return std::min(nextBatch(bytes_, begin), bytes_.size());
      at = next;
    }
    return end;
  }
  /// The format of earlier releases: framed records, without heads.
  void readWithoutHead() {
    std::size_t at = 0, next = 0, after = 0;
    for (; at < bytes_.size(); at = next) {
      Frame const frame = frameAt(bytes_, at, next);
      if (frame == Frame::good) {
        found_.records.emplace_back(bytes_.substr(at + frameHeadSize, next - at - frameHeadSize));
        continue;
      }
      if (frame == Frame::cut || frameAt(bytes_, next, after) != Frame::good) break;
      corrupt(at);
    }
    if (kind_ == LogFileKind::snapshot && at < bytes_.size()) corrupt(at);
    found_.torn += bytes_.size() - at;
  }

  Found& found_;
  string path_;
  LogFileKind kind_;
  string_view bytes_;
};
}  // namespace

string framed(string_view record) {
  string out;
  out.reserve(frameHeadSize + record.size());
  put(out, static_cast<std::uint32_t>(record.size()));
  put(out, checksum(record));
  out.append(record);
  return out;
}
string fileHead(LogFileKind kind) {
  string out(fileMark);
  put(out, logFormat);
  put(out, static_cast<std::uint32_t>(kind));
  put(out, checksum(out));
  return out;
}
string batchOf(string_view framedRecords) {
  string out(batchMark);
  put(out, static_cast<std::uint32_t>(framedRecords.size()));
  put(out, checksum(out));
  out.append(framedRecords);
  return out;
}
string logPath(string const& folder, LogFileKind kind, std::uint64_t no) {
  return folder + (kind == LogFileKind::snapshot ? "/snap-" : "/log-") + hex(no);
}

vector<LogFile> logFiles(FileLayer& files, string const& folder) {
  vector<string> names;
  if (files.list(folder, names) && errno != ENOENT) throw Error(Code::diskFailed, folder);
  vector<LogFile> out;
  for (string const& name : names) {
    bool const snapshot = name.rfind("snap-", 0) == 0;
    std::size_t const digits = snapshot ? 5 : 4;
    if ((!snapshot && name.rfind("log-", 0) != 0) || name.size() != digits + 16) continue;
    LogFileKind const kind = snapshot ? LogFileKind::snapshot : LogFileKind::log;
    out.push_back({kind, std::strtoull(name.c_str() + digits, nullptr, 16)});
  }
  std::sort(out.begin(), out.end(),
            [](LogFile const& a, LogFile const& b) { return std::tie(a.number, a.kind) < std::tie(b.number, b.kind); });
  return out;
}

Found readLogs(FileLayer& files, string const& folder) {
  Found found;
  vector<LogFile> const all = logFiles(files, folder);
  std::uint64_t base = 0;
  for (LogFile const& file : all) {
    found.lastNo = std::max(found.lastNo, file.number);
    if (file.kind == LogFileKind::snapshot) base = std::max(base, file.number);
  }
  for (LogFile const& file : all) {
    if (file.number < base) continue;
    string const path = logPath(folder, file.kind, file.number);
    string bytes;
    if (files.read(path, bytes)) throw Error(Code::diskFailed, path);
    Reader reader(found, path, file.kind, bytes);
    // A log of the present format begins together with the snapshot of its number.
    if (file.number > base && reader.filled()) found.corrupt.push_back(path + " without its snapshot");
    reader.read();
  }
  return found;
}
Found readLogs(string const& folder) {
  return readLogs(systemFiles(), folder);
}

}  // namespace tealshelf
