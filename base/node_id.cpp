#include "base/node_id.hpp"

#include "base/disk_retry.hpp"

namespace tealshelf {

namespace {
constexpr std::size_t idDigits = 16;

/// Writes a new id to a temporary file and renames it; returns 0 or errno.
int writeNodeId(FileSystem& files, string const& directory, string const& path, string const& text) {
  if (files.makeDirectory(directory) && errno != EEXIST) return lastError();
  string const temporaryPath = path + ".new";
  int const error = writeSynced(files, temporaryPath, text);
  if (error) return error;
  return files.rename(temporaryPath, path) ? lastError() : 0;
}
}  // namespace

LoadedNodeId loadNodeId(string const& directory, FileSystem& files) {
  string const path = directory + "/identity";
  string text;
  bool const missing = files.read(path, text) != 0;
  if (missing && errno != ENOENT) throw Error(ErrorCode::diskFailed, path);
  bool const created = missing || text.size() != idDigits;
  int error = 0;
  if (created) {
    text = hex(randomId());
    error = writeNodeId(files, directory, path, text);
  }
  // An existing file may not be durable: an earlier process may have ended before the directory was synced.
  if (!error) error = syncDirectory(files, directory);
  if (error) throw Error(ErrorCode::diskFailed, path + ": " + std::strerror(error));
  return {NodeId(std::strtoull(text.c_str(), nullptr, 16)), created};
}

NodeId waitForNodeId(string const& directory, Ms maxRetryDelay) {
  return retryUntilDiskAvailable(directory, maxRetryDelay, [&directory] { return loadNodeId(directory).id; });
}

}  // namespace tealshelf
