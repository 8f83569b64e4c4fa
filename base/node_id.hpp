#pragma once
#include "base/file_system.hpp"

namespace tealshelf {

struct LoadedNodeId {
  NodeId id;
  bool created = false;  ///< true if the directory had no id
};
/// Reads the node id from a directory; creates and syncs one if there is none. Throws diskFailed.
LoadedNodeId loadNodeId(string const& directory, FileSystem& files = systemFileSystem());
/// The same, but retries while the disk fails, as a process can't start without an id. Blocks the thread.
NodeId waitForNodeId(string const& directory, Ms maxRetryDelay);

}  // namespace tealshelf
