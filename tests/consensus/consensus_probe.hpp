#pragma once
#include "consensus/consensus.hpp"

namespace tealshelf {

/// Gives tests access to private state: the search chooses which node takes over, and compares states by content.
struct ConsensusProbe {
  static TimePoint now() { return TimePoint() + std::chrono::hours(10); }
  static void takeOver(Consensus& consensus, string const& keyspace) {
    if (consensus.mayVote()) consensus.startTakeover(keyspace, consensus.keyspaces_[keyspace], now());
  }
  /// Forgets which nodes were heard, and for how long they have been silent.
  static void forgetContacts(Consensus& consensus) {
    consensus.contacts_.reset(TimePoint() + std::chrono::hours(1), now());
  }
  /// Injected fault: keyspaces that are created from now on begin without the vote for the dropped ones.
  static void forgetDroppedVote(Consensus& consensus) { consensus.droppedVote_ = Epoch(); }
  static bool holds(Consensus const& consensus, string const& keyspace, string const& key) {
    auto const found = consensus.keyspaces_.find(keyspace);
    return found != consensus.keyspaces_.end() && found->second.replica.entries().count(key);
  }
  static std::uint64_t hash(Consensus const& consensus) {
    msgpack::sbuffer buffer;
    for (string const& record : consensus.snapshot()) msgpack::pack(buffer, record);
    msgpack::pack(buffer, consensus.output_.records.size());
    for (auto const& [name, keyspace] : consensus.keyspaces_) packState(buffer, keyspace);
    return hash64(string(buffer.data(), buffer.size()));
  }

 private:
  static void packState(msgpack::sbuffer& buffer, KeyspaceState const& keyspace) {
    msgpack::pack(
        buffer, std::make_tuple(static_cast<int>(keyspace.phase), keyspace.epoch, keyspace.highestSeenEpoch,
                                keyspace.nextSequence, keyspace.committedSequence, keyspace.replica.appliedSequence_));
    for (NodeId const& voter : keyspace.votes) msgpack::pack(buffer, voter);
    for (PendingWrite const& write : keyspace.writes) {
      msgpack::pack(buffer, std::make_tuple(write.operation, write.last, write.committed, write.entries));
      for (NodeId const& member : write.acknowledgedBy) msgpack::pack(buffer, member);
    }
    KeyspaceReplica const& replica = keyspace.replica;
    msgpack::pack(buffer, replica.committedValues_);
    msgpack::pack(buffer, std::make_tuple(replica.committedAt_.epoch, replica.committedAt_.sequence,
                                          replica.announcedCommitted_.epoch, replica.announcedCommitted_.sequence,
                                          replica.storedEpoch_));
    for (auto const& [last, range] : replica.ranges_)
      msgpack::pack(buffer, std::make_tuple(last, range.previous, range.full, range.entries));
  }
};

}  // namespace tealshelf
