#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Number of an ownership of a keyspace; rises with every handover.
struct Epoch {
  std::uint64_t n = 0, who = 0;
  auto operator<=>(Epoch const&) const = default;
  MSGPACK_DEFINE(n, who)
};
/// A place in the row of writes that one ownership made.
struct Position {
  Epoch epoch;
  std::uint64_t seq = 0;
  auto operator<=>(Position const&) const = default;
};
/// One key of a keyspace as a disk holds it.
struct Entry {
  Epoch epoch;
  std::uint64_t seq = 0;
  string value;
  bool gone = false;
  MSGPACK_DEFINE(epoch, seq, value, gone)
};
using Entries = std::map<string, Entry>;

/// A disk of the membership.
struct Member {
  NodeId id;
  string name, ip, zone;
  bool founder = false;  ///< of the first membership: its disk never missed anything
  bool disk = true;      ///< keeps its state on a disk
  /// Number of one uninterrupted membership of this disk: a disk that was put out or lost its vote
  /// comes back under another one, and is a newcomer then.
  std::uint64_t stay = 0;
  bool operator==(Member const&) const = default;
  MSGPACK_DEFINE(id, name, ip, zone, founder, disk, stay)
};
/// The disks that hold the control state; changed one at a time under a rising number.
struct Membership {
  MembershipNumber no;
  vector<Member> members;
  vector<Member> former;  ///< members of the membership before; a newcomer copies from a majority of them
  Member const* find(NodeId id) const;
  std::size_t most() const { return members.size() / 2 + 1; }
  std::size_t mostFormer() const { return former.size() / 2 + 1; }
  MSGPACK_DEFINE(no, members, former)
};

/// Messages between the registries of the membership.
struct Message {
  enum Sort { requestVote, vote, accept, accepted, confirm, confirmed, piece, pieceTaken };
  int sort = requestVote;
  MembershipNumber membership;
  NodeId from, to;
  string keyspace;
  Epoch epoch, votedEpoch;
  std::uint64_t round = 0, prev = 0, upTo = 0;
  bool ok = false, full = false;
  Entries entries;
  std::uint64_t committed = 0;  ///< how far the owner's writes are committed
  std::uint64_t transfer = 0;   ///< number of the catch-up that a piece belongs to
  bool last = false;            ///< the last piece
  MSGPACK_DEFINE(sort, membership, from, to, keyspace, epoch, votedEpoch, round, prev, upTo, ok, full, entries,
                 committed, transfer, last)
};

/// How far a keyspace has come at a node; goes round with the heartbeats.
struct KeyspaceProgress {
  string keyspace;
  Epoch epoch;
  std::uint64_t upTo = 0, committed = 0;
  bool owned = false;
  MSGPACK_DEFINE(keyspace, epoch, upTo, committed, owned)
};
/// A moment of the steady clock of one process; opaque to every other process.
struct OwnMoment {
  std::uint64_t life = 0;  ///< of the process, so that no moment outlives it
  std::int64_t ticks = 0;
  bool operator==(OwnMoment const&) const = default;
  MSGPACK_DEFINE(life, ticks)
};
/// The latest moment that was received from a member, on its way back to it.
struct Echo {
  NodeId of;
  OwnMoment sent;
  MSGPACK_DEFINE(of, sent)
};
/// What a node tells the others of itself.
struct Heartbeat {
  Member self;
  MembershipNumber membership;
  bool copied = false;
  OwnMoment sent;       ///< when this heartbeat was sent, by the sender's clock
  vector<Echo> echoes;  ///< one for each node that the sender heard lately
  vector<KeyspaceProgress> marks;
  bool hears(NodeId id) const;
  MSGPACK_DEFINE(self, membership, copied, sent, echoes, marks)
};

/// A keyspace as one disk holds it, for a disk that copies all keys.
struct KeyspaceCopy {
  string keyspace;
  Epoch votedEpoch;
  Entries entries;
  bool same = false;  ///< the asker holds this very content, which is left out
  std::uint64_t digest() const;
  MSGPACK_DEFINE(keyspace, votedEpoch, entries, same)
};
using DiskCopy = vector<KeyspaceCopy>;

/// How a proposal or a confirmation ended.
enum class Result {
  committed,  ///< a majority has it, or has confirmed the ownership
  notOwner,   ///< nothing was sent: it never comes into force
  unknown     ///< the ownership ended first: the next one settles whether it is in force
};
/// The end of a proposal or of a confirmation.
struct Outcome {
  std::uint64_t op = 0;
  Result result = Result::unknown;
};

/// What a disk knows of its membership and of its own part in it.
struct Standing {
  Membership membership;
  bool copied = false;   ///< it holds all keys and votes, if it is a member
  bool retired = false;  ///< it was a member under its stay and is one no more
  std::uint64_t stay = 0;
  vector<Member> votedBefore;  ///< itself as it voted in the membership before: one or none
  MSGPACK_DEFINE(membership, copied, retired, stay, votedBefore)
};

/// What the consensus wants done: records synced first, then messages sent and outcomes told.
struct Batch {
  vector<string> records;
  vector<Message> messages;
  vector<Outcome> outcomes;
  bool sync = false;
};

/// The control state of one node, without any input or output of its own.
class Consensus {
 public:
  /// Bounds, as ratios of the settings'.
  struct Times {
    Ms alive;  ///< age of a contact from which on it doesn't count
    Ms again;  ///< until a message without an answer is sent again
    Ms lost;   ///< age of the last contact with a majority at which an owner steps down
    Ms open;   ///< how long a write or a read may wait for a majority
  };
  struct Change {
    string key, value;
    bool gone = false;
  };
  /// The number of this process's life must differ from that of every earlier life.
  Consensus(Member self, Times t, std::uint64_t life) : self_(std::move(self)), times_(t), life_(life) {}

  /// Takes back a record of the disk; a bad one throws badMessage.
  void replay(string const& record);
  vector<string> snapshot() const;

  void tick(TimePoint now);
  void receive(Message const& m, TimePoint now);
  void heard(Heartbeat const& p, TimePoint now);
  /// Takes a moment of this node that a peer sent back, with a heartbeat or as the answer to one.
  void echoed(NodeId from, OwnMoment const& sent, TimePoint now);
  Heartbeat heartbeat(TimePoint now) const;
  /// Installs a newer membership; copied says that this disk holds all keys.
  void install(Membership const& g, bool copied);
  /// Replaces the state by what a majority of the former members hold; this disk votes from then on.
  void adopt(vector<DiskCopy> const& copies);
  DiskCopy dump() const;
  /// Gives up the vote, durably, for example because the disk lost a record: this disk can't tell what
  /// it acknowledged. It is a member again only under the new stay (any number not used before), as a
  /// newcomer that copied all keys from a majority.
  void loseVote(std::uint64_t stay);
  /// Lets a retired disk ask to become a member again, under a stay not used before.
  void comeBack(std::uint64_t stay);
  /// Makes a keyspace known, so that its wanted owner takes it.
  void know(string const& keyspace);

  /// Has a change made; its end comes with a batch, at the latest when the bound for open writes is over.
  /// An owner whose write ends as unknown has given the keyspace up: only its takeover tells what is in force.
  std::uint64_t propose(string const& keyspace, vector<Change> changes, TimePoint now);
  /// Gives a keyspace up; what is open ends as unknown.
  void giveUp(string const& keyspace);
  std::uint64_t confirm(string const& keyspace, TimePoint now);
  Batch take() {
    Batch b = std::move(out_);
    out_ = Batch();
    return b;
  }

  bool owns(string const& keyspace) const;
  Epoch epochOf(string const& keyspace) const;
  /// The committed values of a keyspace that this node owns.
  std::map<string, string> const& view(string const& keyspace) const;
  /// The newest committed values that this node knows of, whatever is under way; nothing if it knows none.
  std::optional<std::map<string, string>> settled(string const& keyspace) const;
  /// Who should own a keyspace by what this node knows.
  Member const* wanted(string const& keyspace, TimePoint now) const;
  Membership const& membership() const { return membership_; }
  Member const& self() const { return self_; }
  bool copied() const { return copied_; }
  /// Whether this node gives its keyspaces up and takes none, as its disk takes no writes; true if
  /// that is new.
  bool abstain(bool abstains);
  /// True if this disk is a member under its own stay, with or without a vote.
  bool isMember() const;
  /// True if this disk was a member under its stay and is one no more; it needs another stay to come back.
  bool isRetired() const { return retired_; }
  /// The member that this disk may answer copies for: itself while it votes, or as it voted in the
  /// membership before; nothing if it may not.
  std::optional<Member> copySource() const;
  bool alive(NodeId id, TimePoint now) const;
  /// True if a member runs, holds all keys and knows this membership.
  bool ready(NodeId id, TimePoint now) const;
  /// How long no member in touch with this node has heard a member, as far as this node was awake to tell.
  Ms silentFor(NodeId id, TimePoint now) const;
  /// True if all keyspaces that a majority knows were written anew by their owners in this membership.
  bool writtenAnew(TimePoint now) const;
  /// The latest moment at which this node sent what a majority, itself included, is known to have received.
  TimePoint provenAt(TimePoint now) const;
  /// True if that moment lies within the bound. Arrivals prove nothing: they may have been held back.
  bool inMajority(TimePoint now) const;
  vector<string> keyspaces() const;

 private:
  friend struct ConsensusProbe;  ///< of the tests: starts takeovers and packs the whole state
  struct Write {
    std::uint64_t op = 0, first = 0, last = 0;
    Entries entries;
    std::set<NodeId> acks;
    TimePoint begun, sent;
    bool full = false, done = false;
  };
  struct Read {
    std::uint64_t round = 0;
    vector<std::uint64_t> ops;
    std::set<NodeId> acks;
    TimePoint begun, sent;
  };
  /// An accepted write, or a whole state if it is full.
  struct Accepted {
    std::uint64_t prev = 0, last = 0;
    bool full = false;
    Entries entries;
  };
  /// Committed state on its way to a member that lags, one piece at a time: whole, or what follows a position.
  struct Transfer {
    std::uint64_t id = 0, prev = 0, upTo = 0, piece = 0;
    bool full = false;
    Entries state;
    string from, next;  ///< the keys that the piece under way and the one after it begin with
    bool last = false;
    TimePoint sent;
  };
  /// The pieces of a transfer that came so far; in memory only, so that a restart begins anew.
  struct Incoming {
    std::uint64_t id = 0, next = 0;
    Epoch epoch;
    Entries entries;
  };
  /// What a member was still to reach when it was seen to lag.
  struct Lag {
    TimePoint since, sent;
    std::uint64_t target = 0;
  };
  enum class Phase { none, taking, writing, owning };
  struct Keyspace {
    Epoch votedEpoch, applied;
    std::uint64_t upTo = 0;
    Entries entries;
    Phase phase = Phase::none;
    Epoch epoch, seen;
    std::uint64_t next = 1, committed = 0;
    std::set<NodeId> votes;
    Entries gathered;
    TimePoint sent, since;
    std::deque<Write> writes;
    std::deque<Read> reads;
    std::map<string, string> view;  ///< all that is committed, at the position viewed
    Position viewed;
    Position known;  ///< how far the newest owner heard of has committed
    Epoch acceptedEpoch;
    std::map<std::uint64_t, Accepted> accepted;  ///< what isn't in the view yet, by the last position
    std::map<NodeId, Lag> lags;
    std::map<NodeId, Transfer> transfers;
    Incoming incoming;
    std::deque<Write> recent;  ///< committed writes that all who are up have, for those who come back
    std::size_t recentBytes = 0;
  };
  struct Peer {
    TimePoint at;       ///< of the last arrival
    TimePoint contact;  ///< the latest own moment that the peer sent back
    Heartbeat heartbeat;
  };
  void startTakeover(string const& name, Keyspace& s, TimePoint now);
  void stepDown(Keyspace& s);
  void expire(Keyspace& s, TimePoint now);
  void resend(string const& name, Keyspace& s, TimePoint now);
  void forgetWrites(Keyspace& s, TimePoint now);
  void sendVoteRequests(string const& name, Keyspace& s, TimePoint now);
  void sendWrite(string const& name, Keyspace& s, Write& w, TimePoint now);
  void sendRead(string const& name, Keyspace& s, Read& r, TimePoint now);
  void commit(Keyspace& s);
  void onRequestVote(Message const& m, Keyspace& s);
  void onVote(Message const& m, Keyspace& s, TimePoint now);
  void onAccept(Message const& m, Keyspace& s);
  void onAccepted(Message const& m, Keyspace& s);
  void onConfirm(Message const& m, Keyspace& s);
  void onConfirmed(Message const& m, Keyspace& s);
  void refused(Message const& m, Keyspace& s);
  Message reply(Message const& m, int sort) const;
  void post(Message m) { out_.messages.push_back(std::move(m)); }
  void record(int sort, string const& keyspace, Epoch e, Message const* m);
  void apply(Keyspace& s, Epoch e, bool full, std::uint64_t prev, std::uint64_t upTo, Entries const& es);
  bool mayVote() const { return copied_ && isMember(); }
  Standing standing() const;
  void recordStanding();
  void recordDump(string const& name, Keyspace const& s);
  void noteAwake(TimePoint now);
  void noteHeard(Heartbeat const& p, TimePoint now);
  void keepAccepted(Keyspace& s, Accepted a);
  void extend(Keyspace& s);
  void show(Keyspace& s, Position at, bool full, Entries const& es);
  void advanceView(Keyspace& s, Position known);
  void foldAccepted(Keyspace& s);
  void startFrom(Keyspace& s, Position at, Entries const& es);
  bool isWhole(Keyspace const& s) const;
  void checkLag(KeyspaceProgress const& k, NodeId member, Keyspace& s, TimePoint now);
  std::optional<Entries> committedEntries(Keyspace const& s) const;
  std::optional<Entries> changesAfter(Keyspace const& s, std::uint64_t upTo) const;
  void startTransfer(string const& name, Keyspace& s, KeyspaceProgress const& k, NodeId to, TimePoint now);
  void sendPiece(string const& name, Keyspace& s, Transfer& t, NodeId to, TimePoint now);
  void remember(Keyspace& s, Write w);
  void onPiece(Message const& m, Keyspace& s);
  void onPieceTaken(Message const& m, Keyspace& s, TimePoint now);
  void acceptWrites(Message const& m, Keyspace& s);
  void finish(vector<std::uint64_t> const& ops, Result r);

  Member self_;
  Times times_;
  std::uint64_t life_;
  Membership membership_;
  bool copied_ = false, abstains_ = false, retired_ = false;
  vector<Member> votedBefore_;           ///< this disk as it voted in the membership before: one or none
  std::map<NodeId, TimePoint> heardOf_;  ///< when a member was last heard, here or by a peer
  TimePoint awakeSince_, lastTick_;
  std::map<string, Keyspace> keyspaces_;
  std::map<NodeId, Peer> peers_;
  std::uint64_t lastOp_ = 0, lastRound_ = 0;
  Batch out_;
};

}  // namespace tealshelf
