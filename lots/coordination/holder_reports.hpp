#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// What stores reported of one lot's holders, under the stamp of the record that they went by. No input or output.
///
/// A record with another stamp names other holders, or the same ones settled anew, so a report ends with its stamp. One
/// that outlived it would keep a holder with an intact replica out of every recovery: as the primary of the later
/// record it renews its lease, can't be fenced, and the lot would wait for good.
class HolderReports {
 public:
  /// A holder failed the primary, or said itself that it lacks its replica.
  void addFailed(GenerationStamp stamp, NodeId holder) {
    if (startStamp(stamp)) failed_.insert(holder);
  }
  /// A holder said that its own replica must be settled under a fresh stamp.
  void addUnsettled(GenerationStamp stamp) {
    if (startStamp(stamp)) unsettled_ = true;
  }
  /// The holders that failed under the stamp of the present record.
  std::set<NodeId> failedUnder(GenerationStamp stamp) const { return stamp == stamp_ ? failed_ : std::set<NodeId>(); }
  /// True if a holder must be replaced or settled under the present record.
  bool requireRecovery(GenerationStamp stamp) const { return stamp == stamp_ && (unsettled_ || !failed_.empty()); }
  void clear() {
    failed_.clear();
    unsettled_ = false;
  }

 private:
  /// Drops what was reported under an earlier stamp; false if the report itself is an earlier one.
  bool startStamp(GenerationStamp stamp) {
    if (stamp < stamp_) return false;
    if (stamp != stamp_) clear();
    stamp_ = stamp;
    return true;
  }

  GenerationStamp stamp_;
  std::set<NodeId> failed_;
  bool unsettled_ = false;
};

}  // namespace tealshelf
