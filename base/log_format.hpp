#pragma once
#include "base/file_system.hpp"

/// The format of logs on disk (docs/formats.md). A log is a directory with a snapshot and a log file of the same
/// number; after a crash, older files may still be there.
namespace tealshelf {

/// The version of the format that this release writes. Version 0 is the format without a header of earlier releases; it
/// is read and then replaced by a snapshot in the present one.
constexpr std::uint32_t logFormat = 1;

/// What a file in the directory of a log is.
enum class LogFileKind : std::uint32_t { snapshot = 1, log = 2 };

/// A numbered file of a directory.
struct LogFile {
  LogFileKind kind;
  std::uint64_t number;
};

/// One record with its length and checksum, as a batch holds it.
string encodeRecord(string_view record);
string encodeFileHeader(LogFileKind kind);
/// A batch of encoded records, written in one go and synced as one.
string encodeBatch(string_view encodedRecords);
/// The path of a numbered file.
string logFilePath(string const& directory, LogFileKind kind, std::uint64_t number);
/// The numbered files of a directory in rising order; throws diskFailed.
vector<LogFile> listLogFiles(FileSystem& files, string const& directory);

/// The parts of a log file, for its reader.
namespace log_format {

inline constexpr string_view fileMagic = "TSLG", batchMagic = "TSBT";
inline constexpr std::size_t fileHeaderSize = 16, batchHeaderSize = 12, recordHeaderSize = 8;

std::uint32_t checksum(string_view bytes);
/// The number at a place. REQUIRES: place + 4 <= bytes.size().
std::uint32_t numberAt(string_view bytes, std::size_t place);

enum class RecordState { good, damaged, cut };
/// Looks at the record at a place; `next` is where the one after it begins.
RecordState recordAt(string_view bytes, std::size_t place, std::size_t& next);
/// True if an undamaged header of a batch stands at a place.
bool isBatchHeader(string_view bytes, std::size_t place);
/// Where the next undamaged header of a batch stands; npos if there is none.
std::size_t findBatch(string_view bytes, std::size_t from);

}  // namespace log_format
}  // namespace tealshelf
