#pragma once
#include "consensus/contact_tracker.hpp"
#include "consensus/keyspace_state.hpp"
#include "consensus/log_records.hpp"
#include "consensus/messages.hpp"

namespace tealshelf {

/// A keyspace as one disk holds it, for a node that copies all keys.
struct KeyspaceCopy {
  string keyspace;
  Epoch votedEpoch;
  Entries entries;
  bool unchanged = false;  ///< the asker holds this very content, which is left out
  std::uint64_t digest() const;
  MSGPACK_DEFINE(keyspace, votedEpoch, entries, unchanged)
};
using DiskCopy = vector<KeyspaceCopy>;

/// A change of one key.
struct KeyChange {
  string key, value;
  bool deleted = false;
};

/// How a proposal or a confirmation ended.
enum class OperationResult {
  committed,  ///< a majority stored it, or confirmed the ownership
  notOwner,   ///< nothing was sent: it never comes into force
  unknown     ///< the ownership ended first: the next owner settles whether it is in force
};

struct OperationOutcome {
  OperationId operation = 0;
  OperationResult result = OperationResult::unknown;
};

/// What the state machine wants done, in this order: append the records and, if `needsSync`, sync them; then send the
/// messages and report the outcomes.
struct Output {
  vector<string> records;
  vector<Message> messages;
  vector<OperationOutcome> outcomes;
  bool needsSync = false;
};

/// The replicated control state of one node, as a state machine without input or output of its own.
///
/// Messages, heartbeats and ticks go in; takeOutput() gives what shall be written and sent. Every keyspace has one
/// owner at a time. A node becomes owner by the votes of a majority, its own among them, for a higher epoch; it takes
/// the newest entry of each key that the voters hold and rewrites them all under its epoch before it serves anything. A
/// write is committed once a majority has stored and synced it; a read is confirmed by a majority that voted for no
/// higher epoch since.
///
/// Invariants: a vote for an epoch bars every lower one, and every other owner of the same number, on this disk; only
/// members that hold all keys vote; a node that lost contact with a majority steps down.
///
/// Not thread safe. Errors: replay() throws badMessage; everything else is told by outcomes.
class Consensus {
 public:
  /// Durations, as ratios of the settings' bounds.
  struct Timeouts {
    Ms contactExpiry;  ///< age from which on a contact with a node doesn't count
    Ms resend;         ///< until a message without an answer is sent again
    Ms stepDown;       ///< age of the last contact with a majority at which an owner steps down
    Ms operation;      ///< how long a write or a read may wait for a majority
  };

  /// `processId` must differ from that of every earlier process of this node.
  Consensus(Member self, Timeouts timeouts, std::uint64_t processId)
      : self_(std::move(self)), timeouts_(timeouts), contacts_(self_.id, processId, timeouts.contactExpiry) {}

  // Persistence.

  /// Takes back a record from the disk, in the order in which they were written.
  void replay(string const& record);
  /// Records that bring an empty state machine to the present state.
  vector<string> snapshot() const;

  // Input and output.

  void tick(TimePoint now);
  void receive(Message const& message, TimePoint now);
  void receiveHeartbeat(Heartbeat const& heartbeat, TimePoint now);
  /// Takes a clock reading of this node that a peer sent back in its answer to a heartbeat.
  void receiveEcho(NodeId from, ProcessTime const& sentAt, TimePoint now);
  Heartbeat heartbeat(TimePoint now) const;
  Output takeOutput() { return std::exchange(output_, Output()); }

  // Operations.

  /// Makes a keyspace known, so that its preferred owner takes it.
  void addKeyspace(string const& keyspace);
  /// Writes changes. The outcome comes with an output, at the latest when the operation timeout is over. An owner
  /// whose write ends as unknown has given the keyspace up: only the next takeover tells what is in force.
  /// With `under`, it ends as notOwner unless the keyspace is still owned under that epoch: for changes that build on
  /// values that were read a while ago, as another owner may have written since.
  OperationId propose(string const& keyspace, vector<KeyChange> changes, TimePoint now,
                      std::optional<Epoch> under = std::nullopt);
  /// Asks a majority whether this node still owns a keyspace.
  OperationId confirmOwnership(string const& keyspace, TimePoint now);
  /// Gives a keyspace up; open operations end as unknown.
  void relinquish(string const& keyspace);
  /// Members that shall not own a keyspace while another one can. What nodes know of it may differ for a while: only
  /// who is preferred depends on it, never who owns.
  void setDeprioritizedOwners(string const& keyspace, std::set<NodeId> members) {
    deprioritizedOwners_[keyspace] = std::move(members);
  }
  /// While it abstains, as its disk takes no writes, this node gives its keyspaces up and takes none. True if that
  /// is new.
  bool setIneligibleAsOwner(bool ineligible);

  // Membership.

  /// Installs a newer membership; older ones are ignored. `holdsAllKeys` says that this disk does.
  void installMembership(Membership const& membership, bool holdsAllKeys);
  /// Replaces the state by what a majority of the former members hold; this node votes from then on.
  void installCopies(vector<DiskCopy> const& copies);
  DiskCopy exportKeyspaces() const;
  /// Gives up the vote, durably, for example because the disk lost a record and can't tell what it acknowledged. The
  /// node is a member again only under the new incarnation (one not used before), as a newcomer that copied all keys
  /// from a majority.
  void giveUpVote(std::uint64_t newIncarnation);
  /// Lets a retired disk ask to become a member again, under an incarnation not used before.
  void rejoin(std::uint64_t newIncarnation);
  Membership const& membership() const { return membership_; }
  Member const& self() const { return self_; }
  bool holdsAllKeys() const { return holdsAllKeys_; }
  /// True if this disk is a member under its own incarnation, with or without a vote.
  bool isMember() const;
  /// True if this disk was a member under its incarnation and is one no more.
  bool isRetired() const { return retired_; }
  /// The member that this disk may answer copies for: itself while it votes, or as it voted in the membership before.
  std::optional<Member> copySource() const;
  /// True if all keyspaces that a majority knows were rewritten by their owners in this membership.
  bool allKeyspacesRewritten(TimePoint now) const;

  // Queries.

  bool owns(string const& keyspace) const;
  /// The epoch of this node's own, present or last, ownership.
  Epoch epochOf(string const& keyspace) const;
  /// The committed values of a keyspace, as far as this node knows them; all of them where it owns the keyspace.
  Values const& committedValues(string const& keyspace) const;
  /// The newest committed values that this node knows of, whatever is under way; nothing if it knows none.
  std::optional<Values> lastKnownValues(string const& keyspace) const;
  /// Who should own a keyspace by what this node knows, or null.
  Member const* preferredOwner(string const& keyspace, TimePoint now) const;
  vector<string> keyspaces() const;
  bool isAlive(NodeId node, TimePoint now) const;
  /// True if a member is alive, holds all keys and knows this membership.
  bool isReady(NodeId node, TimePoint now) const;
  Ms silentFor(NodeId node, TimePoint now) const;
  /// See ContactTracker::majorityContact.
  TimePoint majorityContact(TimePoint now) const;
  /// True if that contact is recent. Arrivals prove nothing: they may have been held back.
  bool inContactWithMajority(TimePoint now) const;

 private:
  friend struct ConsensusProbe;  ///< of the tests: starts takeovers and compares whole states

  // Ownership: ownership.cpp.
  void updateOwnership(string const& name, KeyspaceState& keyspace, TimePoint now);
  void startTakeover(string const& name, KeyspaceState& keyspace, TimePoint now);
  void sendVoteRequests(string const& name, KeyspaceState& keyspace, TimePoint now);
  void rewriteUnderOwnEpoch(string const& name, KeyspaceState& keyspace, TimePoint now);
  void stepDown(KeyspaceState& keyspace);
  void stepDownEverywhere();
  void onRefusal(Epoch votedEpoch, KeyspaceState& keyspace, TimePoint now);
  /// Leaves another node's takeover the time to end.
  void deferTakeover(KeyspaceState& keyspace, Epoch other, TimePoint now) const;
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

  // Members that lag: catch_up.cpp.
  void checkLag(KeyspaceProgress const& progress, NodeId member, KeyspaceState& keyspace, TimePoint now);
  void startTransfer(KeyspaceProgress const& progress, NodeId to, KeyspaceState& keyspace, TimePoint now);
  void sendChunk(string const& name, KeyspaceState& keyspace, OutgoingTransfer& transfer, NodeId to, TimePoint now);
  void remember(KeyspaceState& keyspace, PendingWrite write);
  std::optional<Entries> changesAfter(KeyspaceState const& keyspace, std::uint64_t sequence) const;
  std::optional<Entries> committedEntries(KeyspaceState const& keyspace) const;
  void handle(Message const& message, TransferChunk const& chunk, KeyspaceState& keyspace, TimePoint now);
  void handle(Message const& message, TransferChunkReply const& reply, KeyspaceState& keyspace, TimePoint now);

  void handle(Message const&, UnknownMessage const&, KeyspaceState&, TimePoint) {}

  /// True if a node is passed over as owner of a keyspace.
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
  vector<Member> formerVoter_;  ///< this node as it voted in the membership before: one or none
  std::map<string, KeyspaceState> keyspaces_;
  std::map<string, std::set<NodeId>> deprioritizedOwners_;  ///< by keyspace
  OperationId lastOperation_ = 0;
  std::uint64_t lastRound_ = 0;  ///< of ownership checks and transfers
  Output output_;
};

}  // namespace tealshelf
