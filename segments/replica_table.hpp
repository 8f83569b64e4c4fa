#pragma once
#include "segments/messages.hpp"

namespace tealshelf {

/// A lot as one store holds it.
struct Replica {
  LotRecord lot;
  string items;            ///< a serialized vector<ItemRecord>
  vector<string> results;  ///< serialized ResultRecords
  /// Created or settled by this process. Before that its unsynced tail may be gone, so nothing is appended.
  bool settledSinceStart = false;
  /// False once records of it may be lost: it doesn't count as held then.
  bool intact = true;
  /// Its length was told to a recovery; only a fresh stamp opens it again.
  bool underRecovery = false;
  /// Its lot is sealed: it never changes again, and its items are without bodies.
  bool sealed = false;

  std::size_t bytes() const;
};

/// The replicas that one store holds, each with its generation stamp; no input or output of its own.
///
/// Whatever changes a replica gives a record (takeRecords), which must be synced before the change is acknowledged.
/// Every operation under another stamp than the replica's is refused with ErrorCode::staleStamp. The recovery protocol
/// and its source: docs/design.md, "The paper, kept".
class ReplicaTable {
 public:
  /// Takes back a record from the disk, in the order in which they were written.
  void replay(string const& record);
  /// Records that bring an empty table to the present state.
  vector<string> snapshot() const;
  vector<string> takeRecords() { return std::exchange(records_, {}); }

  /// Makes a replica, or replaces an older one; throws staleStamp if the present one is newer.
  void create(LotRecord const& lot, string items, vector<string> results);
  /// Adds results from a position on; refused if that leaves a gap.
  void append(LotKey const& key, GenerationStamp stamp, std::uint64_t from, vector<string> const& records);
  /// Tells a recovery the stamp and length; nothing is appended until a fresh stamp comes.
  InspectReplicaReply inspect(LotKey const& key);
  /// Gives a replica a fresh stamp and cuts its results to a length. Throws lotUnknown if there is no intact replica,
  /// and staleStamp unless its stamp lies in [oldStamp, newStamp).
  void settle(LotKey const& key, GenerationStamp oldStamp, GenerationStamp newStamp, std::uint64_t length);
  /// Closes a replica for good, with a number of results, and lets the bodies of its items go. Throws lotUnknown if
  /// there is no intact replica, and staleStamp if it is below the stamp or has fewer results.
  void seal(LotKey const& key, GenerationStamp atLeast, std::uint64_t results);
  /// Lets a replica go on only under a fresh stamp, as after a restart.
  void requireSettlement(LotKey const& key);
  /// Records that had been synced are lost, and nothing tells which: no replica counts as held until it is made anew.
  void markAllDamaged();
  /// Deletes a replica whose stamp is not above the given one; false if there is none.
  bool remove(LotKey const& key, GenerationStamp upTo);

  /// The replica, if it is intact and its stamp is the one asked for; throws staleStamp.
  Replica const& read(LotKey const& key, GenerationStamp stamp) const;
  /// The replica, if it is intact, at or above a stamp and has so many results; throws staleStamp. Only what is settled
  /// for good may be read so: the results of a sealed lot, or those that a recovery found.
  Replica const& readAtLeast(LotKey const& key, GenerationStamp atLeast, std::uint64_t results) const;
  Replica const* find(LotKey const& key) const;
  /// True if a replica is held intact under a stamp or a newer one.
  bool holds(LotKey const& key, GenerationStamp atLeast) const;
  vector<ReplicaVersion> versions() const;
  std::size_t size() const { return replicas_.size(); }
  /// Bytes of all replicas, as a snapshot holds them but for a little a record.
  std::size_t bytes() const { return bytes_; }
  template <class Visitor>
  void forEach(Visitor visit) const {
    for (auto const& [key, replica] : replicas_) visit(replica);
  }

 private:
  /// Changes a replica and keeps the sum of bytes true.
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
