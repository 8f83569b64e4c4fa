#pragma once
#include "consensus/contact_tracker.hpp"
#include "consensus/keyspace_state.hpp"
#include "consensus/log_records.hpp"
#include "consensus/messages.hpp"

namespace tealshelf {

/// One keyspace of a node's disk, as sent to a node that copies all keys.
struct KeyspaceCopy {
  string keyspace;
  Epoch votedEpoch;
  Entries entries;
  bool unchanged = false;  ///< the requester already has this content; `entries` is empty then
  std::uint64_t digest() const;
  MSGPACK_DEFINE(keyspace, votedEpoch, entries, unchanged)
};
/// All keyspaces of a node's disk.
using DiskCopy = vector<KeyspaceCopy>;

/// A change of one key.
struct KeyChange {
  string key, value;
  bool deleted = false;
};

/// Outcome of a proposed write or of an ownership confirmation.
enum class OperationResult {
  committed,  ///< a majority stored it, or confirmed the ownership
  notOwner,   ///< nothing was sent, so it never takes effect
  unknown     ///< the ownership ended first; whether a write takes effect is decided by the next takeover
};

struct OperationOutcome {
  OperationId operation = 0;
  OperationResult result = OperationResult::unknown;
};

/// Work for the caller, in this order: append the records and, if `needsSync`, sync them; then send the messages and
/// report the outcomes.
struct Output {
  vector<string> records;
  vector<Message> messages;
  vector<OperationOutcome> outcomes;
  bool needsSync = false;
};

/// The replicated control state of one node, as a state machine that does no I/O itself.
///
/// The caller feeds it messages, heartbeats and ticks; takeOutput() returns what to write and send. Every keyspace has
/// one owner at a time. A node becomes owner by the votes of a majority, its own included, for a higher epoch. It takes
/// the newest entry of each key that the voters hold and rewrites all of them under its epoch before it serves reads
/// or writes. A write is committed once a majority has stored and synced it. A read is confirmed by a majority that
/// hasn't voted for a higher epoch.
///
/// Invariants: after a vote for an epoch this node accepts no lower epoch, and no other owner with the same epoch
/// number; only members that hold all keys vote; an owner that loses contact with a majority steps down.
///
/// Not thread safe. Errors: replay() throws badMessage; all other failures are reported as outcomes.
class Consensus {
 public:
  /// Timeouts; ConsensusDriver derives them from the bounds in the settings.
  struct Timeouts {
    Ms contactExpiry;  ///< age after which a contact with a node no longer counts
    Ms resend;         ///< time after which an unanswered message is sent again
    Ms stepDown;       ///< age of the last contact with a majority at which an owner steps down
    Ms operation;      ///< how long a write or a read may wait for a majority
    Ms keepUnused;     ///< how long a keyspace without entries that nothing keeps is there after its last use
  };

  /// `processId` must differ from that of every earlier process of this node.
  Consensus(Member self, Timeouts timeouts, std::uint64_t processId)
      : self_(std::move(self)), timeouts_(timeouts), contacts_(self_.id, processId, timeouts.contactExpiry) {}

  // Persistence.

  /// Restores the state from a record of the log; records are replayed in the order in which they were written.
  void replay(string const& record);
  /// Records from which an empty state machine restores the current state.
  vector<string> snapshot() const;

  // Input and output.

  void tick(TimePoint now);
  void receive(Message const& message, TimePoint now);
  void receiveHeartbeat(Heartbeat const& heartbeat, TimePoint now);
  /// Processes a clock reading of this node that a peer echoed in its reply to a heartbeat.
  void receiveEcho(NodeId from, ProcessTime const& sentAt, TimePoint now);
  Heartbeat heartbeat(TimePoint now) const;
  Output takeOutput() { return std::exchange(output_, Output()); }

  // Operations.

  /// Keeps a keyspace on this node even without entries, so that its preferred owner takes it over.
  void addKeyspace(string const& keyspace);
  /// Of the keyspaces whose names begin with `prefix`, keeps exactly those of `names`. Others stay while they have
  /// entries or are in use.
  void keepKeyspaces(string const& prefix, std::set<string> const& names);
  /// Creates a keyspace for an operation that is about to begin; it goes after Timeouts::keepUnused if it stays empty.
  void useKeyspace(string const& keyspace, TimePoint now);
  /// Proposes a write. Its outcome is part of a later output, at the latest after the operation timeout. An owner
  /// whose write ends as unknown has stepped down: the next takeover decides whether the write takes effect.
  /// With `expectedEpoch` the outcome is notOwner unless this node still owns the keyspace under that epoch. Use it for
  /// changes based on values that were read earlier, since another owner may have written in the meantime.
  OperationId propose(string const& keyspace, vector<KeyChange> changes, TimePoint now,
                      std::optional<Epoch> expectedEpoch = std::nullopt);
  /// Asks the members to confirm that this node still owns a keyspace; committed once a majority has confirmed.
  OperationId confirmOwnership(string const& keyspace, TimePoint now);
  /// Gives up the ownership of a keyspace; its pending operations end as unknown.
  void relinquish(string const& keyspace);
  /// Sets the members that should not own a keyspace while another member can. Nodes may temporarily disagree about
  /// this set: it affects only which member is preferred, never the safety of the ownership.
  void setDeprioritizedOwners(string const& keyspace, std::set<NodeId> members) {
    deprioritizedOwners_[keyspace] = std::move(members);
  }
  /// Sets whether this node must not own keyspaces, because its disk accepts no writes; it gives up those that it
  /// owns. True if the setting changed.
  bool setIneligibleAsOwner(bool ineligible);

  // Membership.

  /// Installs a newer membership; older ones are ignored. `holdsAllKeys`: this node's disk holds all keys.
  void installMembership(Membership const& membership, bool holdsAllKeys);
  /// Replaces the stored entries by the copies of a majority of the former members; this node votes from then on.
  void installCopies(vector<DiskCopy> const& copies);
  DiskCopy exportKeyspaces() const;
  /// Durably gives up this node's vote, for example because its disk lost records and may have forgotten writes that
  /// it acknowledged. The node can become a member again only under the new incarnation, which must be unused, after
  /// copying all keys from a majority like any new member.
  void giveUpVote(std::uint64_t newIncarnation);
  /// Lets a retired node ask to become a member again, under an incarnation that was not used before.
  void rejoin(std::uint64_t newIncarnation);
  Membership const& membership() const { return membership_; }
  Member const& self() const { return self_; }
  bool holdsAllKeys() const { return holdsAllKeys_; }
  /// True if this node is a member under its current incarnation, with or without a vote.
  bool isMember() const;
  /// True if this node was a member under its current incarnation and has been removed.
  bool isRetired() const { return retired_; }
  /// The member on whose behalf this node may serve copies: itself while it votes, else itself as a voter of the
  /// previous membership; nothing if it was no voter.
  std::optional<Member> copySource() const;
  /// True if, according to a majority, every keyspace has an owner in this membership, which has rewritten its entries.
  bool allKeyspacesRewritten(TimePoint now) const;

  // Queries.

  bool owns(string const& keyspace) const;
  /// True if a keyspace is kept, has entries or is in use here, so that it has or will have an owner.
  bool isActive(string const& keyspace, TimePoint now) const;
  /// True if this node stores entries of a keyspace, committed or not.
  bool storesEntriesOf(string const& keyspace) const;
  /// The epoch of this node's current or last ownership.
  Epoch epochOf(string const& keyspace) const;
  /// The committed values of a keyspace that this node knows; on the owner these are all of them.
  Values const& committedValues(string const& keyspace) const;
  /// The newest committed values that this node knows, even while newer writes are pending; nothing if it knows none.
  std::optional<Values> lastKnownValues(string const& keyspace) const;
  /// The member that should own a keyspace according to this node, or null.
  Member const* preferredOwner(string const& keyspace, TimePoint now) const;
  vector<string> keyspaces() const;
  bool isAlive(NodeId node, TimePoint now) const;
  /// True if a member is alive, holds all keys and knows this membership.
  bool isReady(NodeId node, TimePoint now) const;
  Ms silentFor(NodeId node, TimePoint now) const;
  /// See ContactTracker::majorityContact.
  TimePoint majorityContact(TimePoint now) const;
  /// True if majorityContact() is recent. Times of arrival are not used: messages may have been delayed for long.
  bool inContactWithMajority(TimePoint now) const;

 private:
  friend struct ConsensusProbe;  ///< in the tests: starts takeovers and compares complete states

  // Keyspaces that are no longer needed: idle_keyspaces.cpp.
  /// The state of a keyspace, which is created if there is none.
  KeyspaceState& stateOf(string const& name);
  bool isIdle(KeyspaceState const& keyspace, TimePoint now) const;
  /// Gives up the idle keyspaces, and drops them once this process has run for a while.
  void dropIdleKeyspaces(TimePoint now);
  void setDroppedVote(Epoch vote);
  static void copyVote(KeyspaceState& keyspace, Epoch votedEpoch);
  void copyDroppedVotes(DiskCopy const& disk);

  // Ownership: ownership.cpp.
  void updateOwnership(string const& name, KeyspaceState& keyspace, TimePoint now);
  void startTakeover(string const& name, KeyspaceState& keyspace, TimePoint now);
  void sendVoteRequests(string const& name, KeyspaceState& keyspace, TimePoint now);
  void rewriteUnderOwnEpoch(string const& name, KeyspaceState& keyspace, TimePoint now);
  void stepDown(KeyspaceState& keyspace);
  void stepDownEverywhere();
  void onRefusal(Epoch votedEpoch, KeyspaceState& keyspace, TimePoint now);
  /// Delays this node's next takeover, so that another node's takeover can complete.
  void deferTakeover(KeyspaceState& keyspace, Epoch otherEpoch, TimePoint now) const;
  void handle(Message const& message, VoteRequest const& request, KeyspaceState& keyspace, TimePoint now);
  void handle(Message const& message, VoteReply const& reply, KeyspaceState& keyspace, TimePoint now);

  // Writes and reads: replication.cpp.
  void sendWrite(string const& name, KeyspaceState& keyspace, PendingWrite& write, TimePoint now);
  void sendOwnershipCheck(string const& name, KeyspaceState& keyspace, PendingRead& read, TimePoint now);
  void resendPending(string const& name, KeyspaceState& keyspace, TimePoint now);
  void expireOperations(KeyspaceState& keyspace, TimePoint now);
  void advanceCommitted(KeyspaceState& keyspace);
  void retireCommittedWrites(KeyspaceState& keyspace, TimePoint now);
  void storeWrites(Message const& message, WriteRange const& writes, std::uint64_t committed, KeyspaceState& keyspace);
  void finish(OperationId operation, OperationResult result);
  void handle(Message const& message, AppendRequest const& request, KeyspaceState& keyspace, TimePoint now);
  void handle(Message const& message, AppendReply const& reply, KeyspaceState& keyspace, TimePoint now);
  void handle(Message const& message, OwnershipCheck const& check, KeyspaceState& keyspace, TimePoint now);
  void handle(Message const& message, OwnershipCheckReply const& reply, KeyspaceState& keyspace, TimePoint now);

  // Catch-up of lagging members: catch_up.cpp.
  void checkLag(KeyspaceProgress const& progress, NodeId member, KeyspaceState& keyspace, TimePoint now);
  void startTransfer(KeyspaceProgress const& progress, NodeId to, KeyspaceState& keyspace, TimePoint now);
  void sendChunk(string const& name, KeyspaceState& keyspace, OutgoingTransfer& transfer, NodeId to, TimePoint now);
  void keepRecentWrite(KeyspaceState& keyspace, PendingWrite write);
  std::optional<Entries> changesAfter(KeyspaceState const& keyspace, std::uint64_t sequence) const;
  std::optional<Entries> committedEntries(KeyspaceState const& keyspace) const;
  void handle(Message const& message, TransferChunk const& chunk, KeyspaceState& keyspace, TimePoint now);
  void handle(Message const& message, TransferChunkReply const& reply, KeyspaceState& keyspace, TimePoint now);

  void handle(Message const&, UnknownMessage const&, KeyspaceState&, TimePoint) {}

  bool isDeprioritizedOwner(string const& keyspace, NodeId node) const;
  bool mayVote() const { return holdsAllKeys_ && isMember(); }
  MembershipRecord membershipRecord() const;
  void record(LogRecord const& record);
  void send(NodeId to, string const& keyspace, Epoch epoch, MessageBody body);
  void reply(Message const& request, MessageBody body);

  Member self_;
  Timeouts timeouts_;
  ContactTracker contacts_;
  Membership membership_;
  bool holdsAllKeys_ = false;
  bool ineligibleAsOwner_ = false;
  bool retired_ = false;
  vector<Member> formerVoter_;  ///< this node as a voter of the previous membership: one or none
  std::map<string, KeyspaceState> keyspaces_;
  Epoch droppedVote_;  ///< above every vote for a keyspace that was dropped; a new keyspace begins with it
  TimePoint firstTickAt_;
  std::map<string, std::set<NodeId>> deprioritizedOwners_;  ///< by keyspace
  OperationId lastOperation_ = 0;
  std::uint64_t lastRound_ = 0;  ///< last number given to an ownership check or a transfer
  Output output_;
};

}  // namespace tealshelf
