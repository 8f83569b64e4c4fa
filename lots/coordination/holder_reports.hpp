#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Failures of one lot's holders that stores reported under the stamp of one record. Does no I/O.
/// A record with a new stamp names other holders, or the same ones after they settled their replicas, so a report is
/// valid for one stamp only. A report kept longer would exclude a holder with an intact replica from every recovery: as
/// the primary of the later record it renews its lease and can't be fenced, and the lot would never be recovered.
class HolderReports {
 public:
  /// Adds a holder that failed a request of the primary, or reported that it has no intact replica.
  void addFailed(GenerationStamp stamp, NodeId holder) {
    if (startStamp(stamp)) failed_.insert(holder);
  }
  /// Adds a holder's report that its own replica must be settled under a new stamp.
  void addUnsettled(GenerationStamp stamp) {
    if (startStamp(stamp)) unsettled_ = true;
  }
  /// Holders that failed under the stamp of the current record.
  std::set<NodeId> failedUnder(GenerationStamp stamp) const { return stamp == stamp_ ? failed_ : std::set<NodeId>(); }
  /// True if a holder must be replaced or settled again under the current record.
  bool requireRecovery(GenerationStamp stamp) const { return stamp == stamp_ && (unsettled_ || !failed_.empty()); }
  void clear() {
    failed_.clear();
    unsettled_ = false;
  }

 private:
  /// Drops reports under an earlier stamp; false if the new report's own stamp is the earlier one.
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
