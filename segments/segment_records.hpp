#pragma once
#include "segments/messages.hpp"

/// Records of the replica log on disk. Format: docs/formats.md.
namespace tealshelf {

enum class SegmentRecordKind : int { create = 1, append = 2, settle = 3, remove = 4, seal = 5 };

}  // namespace tealshelf
MSGPACK_ADD_ENUM(tealshelf::SegmentRecordKind)
namespace tealshelf {

/// A record of any kind; fields that the kind doesn't use are empty.
struct SegmentRecord {
  SegmentRecordKind kind = SegmentRecordKind::create;
  string host, lotId;
  GenerationStamp stamp;
  std::uint64_t position = 0;  ///< where results are appended, or the number of results kept by settle and seal
  LotRecord lot;
  string items;
  vector<string> results;
  bool intact = true;
  bool sealed = false;
  LotKey key() const { return {host, lotId}; }
  MSGPACK_DEFINE(kind, host, lotId, stamp, position, lot, items, results, intact, sealed)
};

}  // namespace tealshelf
