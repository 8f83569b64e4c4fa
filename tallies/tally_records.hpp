#pragma once
#include "tallies/tally_table.hpp"

namespace tealshelf {

/// Kinds of records in the log of tallies; a number isn't used again.
enum class TallyRecordKind { origin = 1, additions = 2, state = 3 };

/// A record of the log of tallies.
struct TallyRecord {
  int kind = 0;
  OriginId origin;           ///< origin: that this disk's own additions have from here on
  vector<AddBatch> batches;  ///< additions: to apply in this order
  vector<TallyState> state;  ///< state: one, that takes the place of all before
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
