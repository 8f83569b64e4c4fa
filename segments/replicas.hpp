#pragma once
#include "segments/messages.hpp"

namespace tealshelf {

/// The segments that one store holds, each with its stamp; no input or output of its own.
/// Whatever gives a record must have it synced before it is acknowledged.
class Replicas {
 public:
  struct Replica {
    LotRecord lot;
    string items;
    vector<string> results;
    bool since = false;   ///< created or settled in this life of the process
    bool whole = true;    ///< false once records of it may be lost: it doesn't count as held
    bool frozen = false;  ///< its length was told to a recovery; only a fresh stamp opens it
  };
  using Key = std::pair<string, string>;

  /// Takes back a record of the disk.
  void replay(string const& record);
  vector<string> snapshot() const;
  /// New replica, or a newer one over an older; throws staleStamp.
  void create(LotRecord const& lot, string items, vector<string> results);
  /// Adds results from a position on; refused with another stamp or with a gap.
  void append(string const& host, string const& id, GenerationStamp s, std::uint64_t from,
              vector<string> const& records);
  /// Gives a fresh stamp and cuts; refused unless the present stamp lies between old and fresh.
  void settle(string const& host, string const& id, GenerationStamp old, GenerationStamp s, std::uint64_t cut);
  /// Lets a replica go on only under a fresh stamp, as after a restart.
  void doubt(string const& host, string const& id);
  /// Records that had been synced are lost, and nothing tells which: no replica counts as held
  /// until it is made anew.
  void doubtAll();
  /// True if a replica is held whole under a stamp or a newer one.
  bool holds(string const& host, string const& id, GenerationStamp least) const;
  /// Deletes a replica whose stamp is not above the given one.
  bool drop(string const& host, string const& id, GenerationStamp upTo);
  /// The replica, if its stamp is the one asked for; throws staleStamp.
  Replica const& read(string const& host, string const& id, GenerationStamp s) const;
  /// Tells a recovery stamp and length; nothing is appended until a fresh stamp comes.
  SegInspectReply inspect(string const& host, string const& id);
  Replica const* find(string const& host, string const& id) const;
  vector<ReplicaMark> marks() const;
  vector<string> take() { return std::exchange(out_, {}); }
  std::map<Key, Replica> const& all() const { return all_; }

 private:
  std::map<Key, Replica> all_;
  vector<string> out_;
};

}  // namespace tealshelf
