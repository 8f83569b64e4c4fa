#pragma once
#include "base/log_format.hpp"

namespace tealshelf {

/// What reading the directory of a log found.
struct RecoveredLog {
  vector<string> records;        ///< snapshot records, then log records, in order
  std::uint64_t tornBytes = 0;   ///< cut from a tail that was never synced
  vector<string> corruptions;    ///< places where records that had been synced are damaged or missing
  std::uint64_t lastNumber = 0;  ///< highest number of a file
  std::uint64_t totalBytes = 0;
};

/// Reads the directory of a log without changing it. Throws unknownFormat for a format that this release doesn't know,
/// and diskFailed where the disk refuses to be read.
///
/// A log is a sequence of batches, and a batch is written only once the one before it is synced. So damage with a batch
/// after it is a loss of synced records (a corruption); damage in the last batch is taken for a write that a loss of
/// power tore.
RecoveredLog readLog(FileSystem& files, string const& directory);
RecoveredLog readLog(string const& directory);

}  // namespace tealshelf
