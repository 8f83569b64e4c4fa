#pragma once
#include "consensus/consensus.hpp"

namespace tealshelf {

/// Reaches into the state machine: the search decides who leads, and knows states by their content.
struct ConsensusProbe {
  static TimePoint now() { return TimePoint() + std::chrono::hours(10); }
  static void lead(Consensus& c, string const& keyspace) {
    if (c.mayVote()) c.startTakeover(keyspace, c.keyspaces_[keyspace], now());
  }
  /// Forgets whom it heard, and for how long.
  static void deafen(Consensus& c) {
    c.peers_.clear();
    c.heardOf_.clear();
    c.awakeSince_ = TimePoint() + std::chrono::hours(1);
    c.lastTick_ = now();
  }
  static bool holds(Consensus const& c, string const& keyspace, string const& key) {
    std::map<string, Consensus::Keyspace>::const_iterator const k = c.keyspaces_.find(keyspace);
    return k != c.keyspaces_.end() && k->second.entries.count(key);
  }
  static std::uint64_t hash(Consensus const& c) {
    msgpack::sbuffer b;
    for (string const& r : c.snapshot()) msgpack::pack(b, r);
    msgpack::pack(b, c.out_.records.size());
    for (std::pair<string const, Consensus::Keyspace> const& p : c.keyspaces_) {
      Consensus::Keyspace const& k = p.second;
      msgpack::pack(b, std::make_tuple(static_cast<int>(k.phase), k.epoch, k.seen, k.next, k.committed, k.upTo));
      for (NodeId const& v : k.votes) msgpack::pack(b, v);
      for (Consensus::Write const& w : k.writes) {
        msgpack::pack(b, std::make_tuple(w.op, w.last, w.done, w.entries));
        for (NodeId const& v : w.acks) msgpack::pack(b, v);
      }
      msgpack::pack(b, k.view);
      msgpack::pack(b, std::make_tuple(k.viewed.epoch, k.viewed.seq, k.known.epoch, k.known.seq, k.acceptedEpoch));
      for (std::pair<std::uint64_t const, Consensus::Accepted> const& a : k.accepted)
        msgpack::pack(b, std::make_tuple(a.first, a.second.prev, a.second.full, a.second.entries));
    }
    return hash64(string(b.data(), b.size()));
  }
};

}  // namespace tealshelf
