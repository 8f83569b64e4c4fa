#pragma once
#include "base/log_format.hpp"

namespace tealshelf {

/// The result of reading a log directory.
struct RecoveredLog {
  vector<string> records;        ///< snapshot records, then log records, in order
  std::uint64_t tornBytes = 0;   ///< discarded from a tail that was never synced
  vector<string> corruptions;    ///< files and offsets where synced records are damaged or missing
  std::uint64_t lastNumber = 0;  ///< highest file number
  std::uint64_t totalBytes = 0;
};

/// Reads a log directory without changing it. Throws unknownFormat for a format version that this release doesn't
/// support, and diskFailed if a read fails.
///
/// A log is a sequence of batches, and a batch is written only once the previous one is synced. So damage that is
/// followed by a batch is a loss of synced records (a corruption); damage in the last batch is treated as a write torn
/// by a loss of power.
RecoveredLog readLog(FileSystem& files, string const& directory);
RecoveredLog readLog(string const& directory);

}  // namespace tealshelf
