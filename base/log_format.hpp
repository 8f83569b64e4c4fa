#pragma once
#include "base/file_system.hpp"

/// The on-disk format of logs (docs/formats.md). A log is a directory with a snapshot and a log file of the same
/// number; after a crash, older files may remain.
namespace tealshelf {

/// Version of the format that this release writes. Version 0, without headers, was written by earlier releases; it is
/// read and then replaced by a snapshot in the current version.
constexpr std::uint32_t logFormat = 1;

/// Kind of a file in a log directory.
enum class LogFileKind : std::uint32_t { snapshot = 1, log = 2 };

/// A numbered file in a log directory.
struct LogFile {
  LogFileKind kind;
  std::uint64_t number;
};

/// Encodes a record with its length and checksum.
string encodeRecord(string_view record);
string encodeFileHeader(LogFileKind kind);
/// Encodes a batch of encoded records; a batch is written and synced as one unit.
string encodeBatch(string_view encodedRecords);
/// The path of a numbered file.
string logFilePath(string const& directory, LogFileKind kind, std::uint64_t number);
/// The numbered files of a directory in ascending order; throws diskFailed.
vector<LogFile> listLogFiles(FileSystem& files, string const& directory);

/// Low-level parsing of log files.
namespace log_format {

inline constexpr string_view fileMagic = "TSLG", batchMagic = "TSBT";
inline constexpr std::size_t fileHeaderSize = 16, batchHeaderSize = 12, recordHeaderSize = 8;

std::uint32_t checksum(string_view bytes);
/// The 32-bit number at an offset. REQUIRES: offset + 4 <= bytes.size().
std::uint32_t numberAt(string_view bytes, std::size_t offset);

enum class RecordState { valid, damaged, truncated };
/// Checks the record at an offset; `next` receives the offset of the record after it unless it is truncated.
RecordState recordAt(string_view bytes, std::size_t offset, std::size_t& next);
/// True if an undamaged batch header is at an offset.
bool isBatchHeader(string_view bytes, std::size_t offset);
/// The offset of the next undamaged batch header; npos if there is none.
std::size_t findBatch(string_view bytes, std::size_t from);

}  // namespace log_format
}  // namespace tealshelf
