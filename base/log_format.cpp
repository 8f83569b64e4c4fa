#include "base/log_format.hpp"

#include <boost/crc.hpp>

namespace tealshelf {

namespace {
string const snapshotPrefix = "snap-", logPrefix = "log-";
constexpr std::size_t numberDigits = 16;

void appendNumber(string& out, std::uint32_t value) {
  char bytes[4];
  std::memcpy(bytes, &value, sizeof bytes);
  out.append(bytes, sizeof bytes);
}

std::optional<LogFile> parseName(string const& name) {
  for (LogFileKind const kind : {LogFileKind::snapshot, LogFileKind::log}) {
    string const& prefix = kind == LogFileKind::snapshot ? snapshotPrefix : logPrefix;
    if (!name.starts_with(prefix) || name.size() != prefix.size() + numberDigits) continue;
    return LogFile{kind, std::strtoull(name.c_str() + prefix.size(), nullptr, 16)};
  }
  return std::nullopt;
}
}  // namespace

namespace log_format {

std::uint32_t checksum(string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::uint32_t numberAt(string_view bytes, std::size_t offset) {
  std::uint32_t value = 0;
  std::memcpy(&value, bytes.data() + offset, sizeof value);
  return value;
}

RecordState recordAt(string_view bytes, std::size_t offset, std::size_t& next) {
  if (offset + recordHeaderSize > bytes.size()) return RecordState::truncated;
  std::size_t const length = numberAt(bytes, offset);
  std::size_t const begin = offset + recordHeaderSize;
  if (length == 0 || length > bytes.size() - begin) return RecordState::truncated;
  next = begin + length;
  bool const valid = checksum(bytes.substr(begin, length)) == numberAt(bytes, offset + 4);
  return valid ? RecordState::valid : RecordState::damaged;
}

bool isBatchHeader(string_view bytes, std::size_t offset) {
  if (offset + batchHeaderSize > bytes.size() || bytes.substr(offset, batchMagic.size()) != batchMagic) return false;
  return checksum(bytes.substr(offset, 8)) == numberAt(bytes, offset + 8);
}

std::size_t findBatch(string_view bytes, std::size_t from) {
  std::size_t offset = bytes.find(batchMagic, from);
  while (offset != string_view::npos && !isBatchHeader(bytes, offset)) offset = bytes.find(batchMagic, offset + 1);
  return offset;
}

}  // namespace log_format

string encodeRecord(string_view record) {
  string out;
  out.reserve(log_format::recordHeaderSize + record.size());
  appendNumber(out, static_cast<std::uint32_t>(record.size()));
  appendNumber(out, log_format::checksum(record));
  out.append(record);
  return out;
}

string encodeFileHeader(LogFileKind kind) {
  string out(log_format::fileMagic);
  appendNumber(out, logFormat);
  appendNumber(out, static_cast<std::uint32_t>(kind));
  appendNumber(out, log_format::checksum(out));
  return out;
}

string encodeBatch(string_view encodedRecords) {
  string out(log_format::batchMagic);
  appendNumber(out, static_cast<std::uint32_t>(encodedRecords.size()));
  appendNumber(out, log_format::checksum(out));
  out.append(encodedRecords);
  return out;
}

string logFilePath(string const& directory, LogFileKind kind, std::uint64_t number) {
  return directory + "/" + (kind == LogFileKind::snapshot ? snapshotPrefix : logPrefix) + hex(number);
}

vector<LogFile> listLogFiles(FileSystem& files, string const& directory) {
  vector<string> names;
  if (files.list(directory, names) && errno != ENOENT) throw Error(ErrorCode::diskFailed, directory);
  vector<LogFile> found;
  for (string const& name : names)
    if (std::optional<LogFile> const file = parseName(name)) found.push_back(*file);
  std::sort(found.begin(), found.end(), [](LogFile const& left, LogFile const& right) {
    return std::tie(left.number, left.kind) < std::tie(right.number, right.kind);
  });
  return found;
}

}  // namespace tealshelf
