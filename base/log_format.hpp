#pragma once
#include "base/files.hpp"

namespace tealshelf {

/// The version of the format that this release writes. Version 0 is the format without a header
/// of earlier releases; it is read and then replaced by a snapshot in the present one.
constexpr std::uint32_t logFormat = 1;

/// What a file in the folder of a log is.
enum class LogFileKind : std::uint32_t { snapshot = 1, log = 2 };

/// What reading a folder of logs found.
struct Found {
  vector<string> records;    ///< snapshot records, then log records, in order
  std::uint64_t torn = 0;    ///< bytes cut from a tail that was never synced
  vector<string> corrupt;    ///< places where records that had been synced are broken or missing
  std::uint64_t lastNo = 0;  ///< highest number of a file
  std::uint64_t bytes = 0;
};

/// Reads a folder without changing it. Throws unknownFormat for a format that this release doesn't
/// know, and diskFailed where the disk refuses to be read.
///
/// A log is a row of batches, and a batch is written only once the one before it is synced. So
/// damage with a batch after it is a loss of synced records (corrupt); damage in the last batch is
/// taken for a write that a loss of power tore.
Found readLogs(FileLayer& files, string const& folder);
Found readLogs(string const& folder);

/// One record with its length and checksum, as a batch holds it.
string framed(string_view record);
/// The head of a file.
string fileHead(LogFileKind kind);
/// A batch of framed records, written in one go and synced as one.
string batchOf(string_view framedRecords);
/// The path of a numbered file.
string logPath(string const& folder, LogFileKind kind, std::uint64_t number);

/// A numbered file of a folder.
struct LogFile {
  LogFileKind kind;
  std::uint64_t number;
};
/// The numbered files of a folder in rising order; throws diskFailed.
vector<LogFile> logFiles(FileLayer& files, string const& folder);

}  // namespace tealshelf
