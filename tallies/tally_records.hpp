#pragma once
#include "tallies/tally_table.hpp"

namespace tealshelf {

/// Kinds of records in the log of tallies. Numbers are stored; never reuse one.
enum class TallyRecordKind { origin = 1, additions = 2, state = 3 };

/// A record of the log of tallies.
struct TallyRecord {
  int kind = 0;
  OriginId origin;           ///< origin: of this disk's own additions from here on
  vector<AddBatch> batches;  ///< additions: to be applied in this order
  vector<TallyState> state;  ///< state: exactly one; replaces everything before it
  MSGPACK_DEFINE(kind, origin, batches, state)
};

inline string originRecord(OriginId origin) {
  return serialize(TallyRecord{static_cast<int>(TallyRecordKind::origin), origin, {}, {}});
}
inline string additionsRecord(vector<AddBatch> batches) {
  return serialize(TallyRecord{static_cast<int>(TallyRecordKind::additions), OriginId(), std::move(batches), {}});
}
inline string stateRecord(TallyState state) {
  TallyRecord record;
  record.kind = static_cast<int>(TallyRecordKind::state);
  record.state.push_back(std::move(state));
  return serialize(record);
}

}  // namespace tealshelf
