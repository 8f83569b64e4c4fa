#pragma once
#include "lots/coordination/recovery_need.hpp"
#include "lots/messages.hpp"

#include <variant>

namespace tealshelf {

/// What the coordinator knows of a lot when its recovery begins.
struct RecoveryStart {
  LotRecord lot;
  vector<StoreRef> live;      ///< holders to inspect
  std::size_t lostDisks = 0;  ///< holders whose disk was replaced
  std::set<NodeId> failed;    ///< holders that failed the primary under the record's stamp
  std::set<string> retiring;  ///< names of stores that are being drained
  std::size_t neededCopies = 1;
};

/// Holders after copying: the former ones first, then those with new copies.
struct RecoveryCopies {
  vector<StoreRef> holders;
  std::size_t made = 0, refused = 0;
};

/// The actions that a recovery asks its driver to carry out.
namespace recovery_step {
/// Ask holders for the stamp and length of their replicas.
struct InspectHolders {
  vector<StoreRef> holders;
};
/// Fence the lease of a store at a majority of the control nodes.
struct FenceStore {
  NodeId store;
};
/// Allocate a fresh stamp, if this node still owns the keyspace under the epoch in which the recovery began.
struct AllocateStamp {};
/// Copy the lot to other stores until it has enough holders or no candidate is left.
struct MakeCopies {
  CopyReplica request;  ///< without a source
  vector<StoreRef> sources, holders;
  std::set<NodeId> excluded;
};
/// Truncate replicas to a common length under a fresh stamp.
struct SettleHolders {
  vector<StoreRef> holders;
  SettleReplica request;
};
/// Commit the record under the epoch in which the recovery began.
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

/// Recovery of one unsealed lot as a state machine that does no I/O.
///
/// The recovery collects stamps and lengths of replicas, ignores replicas below the recorded stamp, makes the missing
/// copies, settles all survivors at the shortest length under a fresh stamp, and then commits the record. No survivor
/// takes the fresh stamp before the needed copies exist, so a recovery that gives up leaves the replicas that the
/// record names unchanged. A recovery belongs to one ownership of the keyspace: its driver allocates the stamp and
/// commits the record only under the epoch in which the recovery began.
///
/// step() is the action to carry out; its result is passed to the matching function: inspected() for InspectHolders,
/// fenced() for FenceStore, and so on.
class LotRecovery {
 public:
  explicit LotRecovery(RecoveryStart start);
  RecoveryStep const& step() const { return step_; }
  /// The state of record, holders and copies, for the log.
  string describe() const;

  /// Replies to InspectHolders, in the same order; none for a holder that didn't answer.
  void inspected(vector<std::optional<InspectReplicaReply>> const& replies);
  void fenced(bool done);
  /// No stamp if this node no longer owns the keyspace.
  void stamped(std::optional<GenerationStamp> stamp);
  void copied(RecoveryCopies copies);
  /// The holders that settled their replicas.
  void settled(vector<StoreRef> const& stores);
  void saved(bool done);

  /// The committed record; valid if isWritten().
  LotRecord const& recovered() const { return recovered_; }
  bool isWritten() const { return written_; }
  std::uint64_t length() const { return commonLength_; }

 private:
  void end(RecoveryOutcome outcome) { step_ = recovery_step::End{outcome}; }
  void addReply(StoreRef const& holder, std::optional<InspectReplicaReply> const& reply);
  NodeId primary() const { return start_.lot.holders[0].id; }
  /// Holders that the new record must name: the needed copies, or as many as the old record names if these are fewer.
  std::size_t minHolders() const { return std::min(start_.neededCopies, start_.lot.holders.size()); }
  /// True if no other holder can come back with a copy.
  bool allHoldersAccountedFor() const {
    return survivors_.size() + withoutReplicaCount_ + start_.lostDisks >= start_.lot.holders.size();
  }
  void makeCopies(vector<StoreRef> holders, std::set<NodeId> excluded);
  void settleIfEnoughCopies();

  RecoveryStart start_;
  RecoveryStep step_;
  vector<StoreRef> survivors_;           ///< holders with an intact replica; those that aren't retiring first
  std::size_t stayingCount_ = 0;         ///< survivors that aren't retiring
  std::size_t withoutReplicaCount_ = 0;  ///< holders that reported no intact replica
  std::uint64_t commonLength_ = ~0ull;   ///< results that every survivor has
  bool primaryCannotServe_ = false;      ///< the former primary can't answer reads any more
  bool allowsFailedStores_ = false;
  RecoveryCopies copies_;
  LotRecord recovered_;
  bool written_ = false;
};

}  // namespace tealshelf
