#pragma once
#include "segments/messages.hpp"

namespace tealshelf {

/// One store's replica of a lot.
struct Replica {
  LotRecord lot;
  string items;            ///< a serialized vector<ItemRecord>
  vector<string> results;  ///< serialized ResultRecords
  /// Created or settled by this process. A replica read back after a restart may have lost its unsynced tail, so it
  /// accepts no appends until it is settled.
  bool settledSinceStart = false;
  /// False once some of its records may be lost; the store then doesn't count as a holder of it.
  bool intact = true;
  /// A recovery has read its length; it accepts no appends until it gets a new stamp.
  bool underRecovery = false;
  /// The lot is sealed: the replica is immutable, and the bodies of its items are dropped.
  bool sealed = false;

  std::size_t bytes() const;
};

/// The replicas that one store holds, in memory, each with its generation stamp. Does no I/O.
///
/// Each change of a replica produces a log record (takeRecords) that must be synced before the change is acknowledged.
/// Unless said otherwise, an operation whose stamp differs from the replica's throws ErrorCode::staleStamp. The
/// recovery protocol and its source: docs/design.md, "The paper, kept".
class ReplicaTable {
 public:
  /// Applies a record read from the log; records must come in the order in which they were written.
  void replay(string const& record);
  /// Records that reproduce the current state when replayed into an empty table.
  vector<string> snapshot() const;
  vector<string> takeRecords() { return std::exchange(records_, {}); }

  /// Creates a replica, or replaces one that is older or damaged; throws staleStamp if the existing one is newer.
  void create(LotRecord const& lot, string items, vector<string> results);
  /// Writes results starting at position `from`, and skips those already present; throws staleStamp if that would leave
  /// a gap.
  void append(LotKey const& key, GenerationStamp stamp, std::uint64_t from, vector<string> const& records);
  /// Starts a recovery: returns stamp and length, and blocks appends until the replica gets a new stamp.
  InspectReplicaReply inspect(LotKey const& key);
  /// Completes a recovery: gives a replica a new stamp and truncates its results to a length. Throws lotUnknown if
  /// there is no intact replica, and staleStamp if its stamp is outside [oldStamp, newStamp), if it is sealed, or if it
  /// has fewer results.
  void settle(LotKey const& key, GenerationStamp oldStamp, GenerationStamp newStamp, std::uint64_t length);
  /// Makes a replica immutable with the given number of results, and drops the bodies of its items. Throws lotUnknown
  /// if there is no intact replica, and staleStamp if its stamp is lower or it has fewer results.
  void seal(LotKey const& key, GenerationStamp atLeast, std::uint64_t results);
  /// Blocks appends to a replica until it is settled under a new stamp, as after a restart.
  void requireSettlement(LotKey const& key);
  /// For a log that lost synced records: any replica may be affected, so none counts as held until it is created again.
  void markAllDamaged();
  /// Deletes a replica with a stamp of at most `upTo`; false if there is none.
  bool remove(LotKey const& key, GenerationStamp upTo);

  /// The intact replica with exactly this stamp; throws staleStamp if there is none.
  Replica const& read(LotKey const& key, GenerationStamp stamp) const;
  /// The intact replica with at least this stamp and number of results; throws staleStamp if there is none. Use it only
  /// for results that can't change any more: those of a sealed lot, or those that a recovery settled on.
  Replica const& readAtLeast(LotKey const& key, GenerationStamp atLeast, std::uint64_t results) const;
  Replica const* find(LotKey const& key) const;
  /// True if there is an intact replica with at least this stamp.
  bool holds(LotKey const& key, GenerationStamp atLeast) const;
  vector<ReplicaVersion> versions() const;
  std::size_t size() const { return replicas_.size(); }
  /// Estimated size of all replicas in a snapshot, in bytes.
  std::size_t bytes() const { return bytes_; }
  template <class Visitor>
  void forEach(Visitor visit) const {
    for (auto const& [key, replica] : replicas_) visit(replica);
  }

 private:
  /// Applies a change to a replica and updates `bytes_`.
  template <class Change>
  void change(Replica& replica, Change apply) {
    bytes_ -= replica.bytes();
    apply();
    bytes_ += replica.bytes();
  }
  Replica& findOrAdd(LotKey const& key);
  void erase(std::map<LotKey, Replica>::iterator replica);

  std::map<LotKey, Replica> replicas_;
  std::size_t bytes_ = 0;
  vector<string> records_;
};

}  // namespace tealshelf
