#pragma once
#include "base/file_system.hpp"

namespace tealshelf {

struct LoadedNodeId {
  NodeId id;
  bool created = false;  ///< the disk had none
};
/// The id of the disk in a directory, made and synced when the directory has none; throws diskFailed.
LoadedNodeId loadNodeId(string const& directory, FileSystem& files = systemFileSystem());
/// The same, but waits for a disk that refuses: a process can't begin without an id. Blocks the thread.
NodeId waitForNodeId(string const& directory, Ms maxRetryDelay);

}  // namespace tealshelf
