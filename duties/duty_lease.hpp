#pragma once
#include "consensus/entries.hpp"

namespace tealshelf {

/// Who holds the duties at the platform; stored in the keyspace `duties`.
struct DutyRecord {
  std::uint64_t fence = 0;  ///< rises by one with each claim
  NodeId holder;
  string holderName;
  MSGPACK_DEFINE(fence, holder, holderName)
};

/// When the node that owns the keyspace `duties` may call the platform; no input or output of its own.
///
/// The owner first claims the duties: it commits a record with the next fencing token. Then it has a majority confirm
/// its ownership, again and again. A confirmation asked for at a time s proves that no other node owned the duties at
/// s, so every later claim is committed after s. The holder acts until s + 3/4 of the lease; whoever claims next waits
/// a whole lease after its claim. So two holders never act at the same time, and none acts again within a lease after
/// another one did.
class DutyLease {
 public:
  explicit DutyLease(Ms lease) : lease_(lease) {}

  /// A claim was committed. `hadPredecessor`: the duties had been claimed before.
  void noteClaimed(Epoch epoch, std::uint64_t fence, bool hadPredecessor, TimePoint now);
  /// A majority confirmed the ownership under an epoch; it was asked at `askedAt`.
  void noteConfirmed(Epoch epoch, TimePoint askedAt);
  /// The ownership ended, or the platform knows a higher fencing token.
  void drop();

  bool isClaimedUnder(Epoch epoch) const { return isClaimed_ && epoch_ == epoch; }
  bool mayAct(TimePoint now) const { return isClaimed_ && now >= actsFrom_ && now < endsAt_; }
  /// When the holder must have ended what it does, unless it is confirmed again.
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
