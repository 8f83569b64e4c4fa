#pragma once
#include "lots/coordination/recovery_need.hpp"
#include "lots/messages.hpp"

#include <variant>

namespace tealshelf {

/// What a coordinator knows of a lot as its recovery begins.
struct RecoveryStart {
  LotRecord lot;
  vector<StoreRef> live;      ///< holders that are asked
  std::size_t lostDisks = 0;  ///< holders whose disk is known to be gone
  std::set<NodeId> failed;    ///< holders that failed the primary under the record's stamp
  std::set<string> retiring;  ///< names of stores that shall be emptied
  std::size_t neededCopies = 1;
};

/// Holders with new copies behind those that there were.
struct RecoveryCopies {
  vector<StoreRef> holders;
  std::size_t made = 0, refused = 0;
};

/// What a recovery wants done next.
namespace recovery_step {
/// Ask holders for stamp and length of their replicas.
struct InspectHolders {
  vector<StoreRef> holders;
};
/// Fence the lease of a store at a majority of the control nodes.
struct FenceStore {
  NodeId store;
};
/// Give a fresh stamp, if this node still owns the keyspace under the epoch with which the recovery began.
struct AllocateStamp {};
/// Have copies made until the lot has enough holders or no store is left that takes one.
struct MakeCopies {
  CopyReplica request;  ///< without a source
  vector<StoreRef> sources, holders;
  std::set<NodeId> excluded;
};
/// Have replicas cut to a length under a fresh stamp.
struct SettleHolders {
  vector<StoreRef> holders;
  SettleReplica request;
};
/// Write the record under the epoch with which the recovery began.
struct SaveRecord {
  LotRecord lot;
};
struct End {
  RecoveryOutcome outcome;
};
}  // namespace recovery_step
using RecoveryStep = std::variant<recovery_step::InspectHolders, recovery_step::FenceStore,
                                  recovery_step::AllocateStamp, recovery_step::MakeCopies, recovery_step::SettleHolders,
                                  recovery_step::SaveRecord, recovery_step::End>;

/// The paper's recovery of one lot that goes on, as a state machine without input or output of its own.
///
/// Stamps and lengths are collected, replicas below the recorded stamp left out, the shortest length settled under a
/// fresh stamp, and only then the record is written. The copies that are needed are made first: until they are there no
/// survivor takes the fresh stamp, so that a recovery that gives up leaves the replicas that the record names as they
/// were. All of it belongs to one ownership of the keyspace: whoever drives it gives a stamp and writes the record only
/// under the epoch with which it began.
///
/// step() says what is wanted; the answer to it is passed to the function that its step names.
class LotRecovery {
 public:
  explicit LotRecovery(RecoveryStart start);
  RecoveryStep const& step() const { return step_; }
  /// What was found, for the log.
  string describe() const;

  /// Answers to InspectHolders, in its order; none from a holder that didn't answer.
  void inspected(vector<std::optional<InspectReplicaReply>> const& replies);
  void fenced(bool done);
  /// None if this node doesn't own the keyspace any more.
  void stamped(std::optional<GenerationStamp> stamp);
  void copied(RecoveryCopies copies);
  /// The holders that settled their replica.
  void settled(vector<StoreRef> const& stores);
  void saved(bool done);

  /// The record as it was written; meant for a recovery that ended with a written record.
  LotRecord const& recovered() const { return recovered_; }
  bool isWritten() const { return written_; }
  std::uint64_t length() const { return commonLength_; }

 private:
  void end(RecoveryOutcome outcome) { step_ = recovery_step::End{outcome}; }
  void addReply(StoreRef const& holder, std::optional<InspectReplicaReply> const& reply);
  NodeId primary() const { return start_.lot.holders[0].id; }
  /// The record never names fewer than survive a loss, unless it did.
  std::size_t minHolders() const { return std::min(start_.neededCopies, start_.lot.holders.size()); }
  /// True if no holder is left that may come back with a copy.
  bool allHoldersAccountedFor() const {
    return survivors_.size() + withoutReplicaCount_ + start_.lostDisks >= start_.lot.holders.size();
  }
  void makeCopies(vector<StoreRef> holders, std::set<NodeId> excluded);
  void settleIfEnoughCopies();

  RecoveryStart start_;
  RecoveryStep step_;
  vector<StoreRef> survivors_;           ///< that have an intact replica, those that stay first
  std::size_t stayingCount_ = 0;         ///< survivors that aren't to be emptied
  std::size_t withoutReplicaCount_ = 0;  ///< holders that have no intact replica for certain
  std::uint64_t commonLength_ = ~0ull;   ///< results that all survivors have
  bool primaryCannotServe_ = false;      ///< the former primary serves nothing any more
  bool allowsFailedStores_ = false;
  RecoveryCopies copies_;
  LotRecord recovered_;
  bool written_ = false;
};

}  // namespace tealshelf
