#pragma once
#include "consensus/entries.hpp"

namespace tealshelf {

/// Who holds the duties at the platform; stored in the keyspace `duties`.
struct DutyRecord {
  std::uint64_t fence = 0;  ///< fencing token; incremented by each claim
  NodeId holder;
  string holderName;
  MSGPACK_DEFINE(fence, holder, holderName)
};

/// When the node that owns the keyspace `duties` may call the platform; does no I/O.
///
/// The owner first claims the duties by committing a record with the next fencing token. Then it repeatedly has a
/// majority confirm its ownership. A confirmation requested at time s proves that no other node owned the duties at s,
/// so every later claim is committed after s. The holder may act until s + 3/4 of the lease; the next claimant waits a
/// whole lease after its claim. So two holders never act at the same time, and a former holder doesn't act again within
/// a lease after another one did.
class DutyLease {
 public:
  explicit DutyLease(Ms lease) : lease_(lease) {}

  /// Called when a claim is committed. `hadPredecessor`: the duties had been claimed before.
  void noteClaimed(Epoch epoch, std::uint64_t fence, bool hadPredecessor, TimePoint now);
  /// Called when a majority has confirmed the ownership under an epoch; the request was sent at `askedAt`.
  void noteConfirmed(Epoch epoch, TimePoint askedAt);
  /// Called when the ownership ends, or the platform knows a higher fencing token.
  void drop();

  bool isClaimedUnder(Epoch epoch) const { return isClaimed_ && epoch_ == epoch; }
  bool mayAct(TimePoint now) const { return isClaimed_ && now >= actsFrom_ && now < endsAt_; }
  /// The time by which the holder must have stopped acting, unless its ownership is confirmed again.
  TimePoint endsAt() const { return endsAt_; }
  TimePoint actsFrom() const { return actsFrom_; }
  Epoch epoch() const { return epoch_; }
  std::uint64_t fence() const { return fence_; }

 private:
  Ms lease_;
  bool isClaimed_ = false;
  Epoch epoch_;
  std::uint64_t fence_ = 0;
  TimePoint actsFrom_, endsAt_;
};

}  // namespace tealshelf
