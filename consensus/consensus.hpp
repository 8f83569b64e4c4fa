#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Number of an ownership of a keyspace; rises with every handover.
struct Epoch {
  std::uint64_t n = 0, who = 0;
  auto operator<=>(Epoch const&) const = default;
  MSGPACK_DEFINE(n, who)
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
  Identity id;
  string name, ip, zone;
  bool founder = false;  ///< of the first membership: its disk never missed anything
  bool disk = true;      ///< keeps its state on a disk
  bool operator==(Member const&) const = default;
  MSGPACK_DEFINE(id, name, ip, zone, founder, disk)
};
/// The disks that hold the control state; changed one at a time under a rising number.
struct Membership {
  MembershipNumber no;
  vector<Member> members;
  std::uint64_t oldSize = 0;  ///< size of the membership before
  Member const* find(Identity id) const;
  std::size_t most() const { return members.size() / 2 + 1; }
  MSGPACK_DEFINE(no, members, oldSize)
};

/// Messages between the registries of the membership.
struct Message {
  enum Sort { requestVote, vote, accept, accepted, confirm, confirmed };
  int sort = requestVote;
  MembershipNumber membership;
  Identity from, to;
  string keyspace;
  Epoch epoch, votedEpoch;
  std::uint64_t round = 0, prev = 0, upTo = 0;
  bool ok = false, full = false;
  Entries entries;
  MSGPACK_DEFINE(sort, membership, from, to, keyspace, epoch, votedEpoch, round, prev, upTo, ok, full, entries)
};

/// How far a keyspace has come at a node; goes round with the heartbeats.
struct KeyspaceProgress {
  string keyspace;
  Epoch epoch;
  std::uint64_t upTo = 0, committed = 0;
  bool owned = false;
  MSGPACK_DEFINE(keyspace, epoch, upTo, committed, owned)
};
/// What a node tells the others of itself.
struct Heartbeat {
  Member self;
  MembershipNumber membership;
  bool copied = false;
  vector<Identity> hears;
  vector<KeyspaceProgress> marks;
  MSGPACK_DEFINE(self, membership, copied, hears, marks)
};

/// The end of a proposal or of a confirmation.
struct Outcome {
  std::uint64_t op = 0;
  bool ok = false;
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
  struct Times {
    Ms alive, again;
  };
  struct Change {
    string key, value;
    bool gone = false;
  };
  Consensus(Member self, Times t) : self_(std::move(self)), times_(t) {}

  /// Takes back a record of the disk; a bad one throws badMessage.
  void replay(string const& record);
  vector<string> snapshot() const;

  void tick(Moment now);
  void receive(Message const& m, Moment now);
  void heard(Heartbeat const& p, Moment now);
  Heartbeat heartbeat(Moment now) const;
  /// Installs a newer membership; copied says that this disk holds all keys.
  void install(Membership const& g, bool copied);
  /// Takes in the keyspaces that other members hold.
  void absorb(vector<std::pair<string, std::pair<Epoch, Entries>>> const& keyspaces);
  vector<std::pair<string, std::pair<Epoch, Entries>>> dump() const;
  void markCopied();
  /// Makes a keyspace known, so that its wanted owner takes it.
  void know(string const& keyspace);

  std::uint64_t propose(string const& keyspace, vector<Change> changes, Moment now);
  std::uint64_t confirm(string const& keyspace, Moment now);
  Batch take() {
    Batch b = std::move(out_);
    out_ = Batch();
    return b;
  }

  bool owns(string const& keyspace) const;
  Epoch epochOf(string const& keyspace) const;
  /// The committed values of a keyspace that this node owns.
  std::map<string, string> const& view(string const& keyspace) const;
  /// The committed values of a keyspace as a node that doesn't own it knows them; empty if it isn't sure.
  std::optional<std::map<string, string>> settled(string const& keyspace) const;
  /// Who should own a keyspace by what this node knows.
  Member const* wanted(string const& keyspace, Moment now) const;
  Membership const& membership() const { return membership_; }
  Member const& self() const { return self_; }
  bool copied() const { return copied_; }
  /// Gives the vote up for good, as records that were synced are lost; markCopied() gives it back.
  void loseVote();
  bool lostVote() const { return lostVote_; }
  /// Whether this node gives its keyspaces up and takes none, as its disk takes no writes; true if
  /// that is new.
  bool abstain(bool abstains);
  bool alive(Identity id, Moment now) const;
  /// True if a member runs, holds all keys and knows this membership.
  bool ready(Identity id, Moment now) const;
  Moment lastHeard(Identity id) const;
  /// When a majority that hears this node, this node included, was heard last.
  Moment provenAt(Moment now) const;
  /// True if a majority was heard lately, and says that it hears this node.
  bool inMajority(Moment now) const;
  vector<string> keyspaces() const;

 private:
  struct Write {
    std::uint64_t op = 0, first = 0, last = 0;
    Entries entries;
    std::set<Identity> acks;
    Moment sent;
    bool full = false, done = false;
  };
  struct Read {
    std::uint64_t round = 0;
    vector<std::uint64_t> ops;
    std::set<Identity> acks;
    Moment sent;
  };
  enum class Phase { none, taking, writing, owning };
  struct Keyspace {
    Epoch votedEpoch, applied;
    std::uint64_t upTo = 0;
    Entries entries;
    Phase phase = Phase::none;
    Epoch epoch, seen;
    std::uint64_t next = 1, committed = 0;
    std::set<Identity> votes;
    Entries gathered;
    Moment sent, since;
    std::deque<Write> writes;
    std::deque<Read> reads;
    std::map<string, string> view;
    Epoch knownEpoch;
    std::uint64_t knownCommitted = 0;
    std::map<Identity, std::pair<Moment, Moment>> behind;
  };
  struct Peer {
    Moment at;
    Heartbeat heartbeat;
  };
  bool mutual(Peer const& p) const;
  void startTakeover(string const& name, Keyspace& s, Moment now);
  void stepDown(Keyspace& s);
  void sendVoteRequests(string const& name, Keyspace& s, Moment now);
  void sendWrite(string const& name, Keyspace& s, Write& w, Moment now);
  void sendRead(string const& name, Keyspace& s, Read& r, Moment now);
  void commit(Keyspace& s);
  void onRequestVote(Message const& m, Keyspace& s);
  void onVote(Message const& m, Keyspace& s, Moment now);
  void onAccept(Message const& m, Keyspace& s);
  void onAccepted(Message const& m, Keyspace& s);
  void onConfirm(Message const& m, Keyspace& s);
  void onConfirmed(Message const& m, Keyspace& s);
  void refused(Message const& m, Keyspace& s);
  Message reply(Message const& m, int sort) const;
  void post(Message m) { out_.messages.push_back(std::move(m)); }
  void record(int sort, string const& keyspace, Epoch e, Message const* m);
  void apply(Keyspace& s, Epoch e, bool full, std::uint64_t prev, std::uint64_t upTo, Entries const& es);
  bool mayVote() const { return copied_ && membership_.find(self_.id); }
  void finish(vector<std::uint64_t> const& ops, bool ok);

  Member self_;
  Times times_;
  Membership membership_;
  bool copied_ = false, abstains_ = false;
  bool lostVote_ = false;  ///< records of its disk were lost: no membership makes it vote before it copied
  std::map<string, Keyspace> keyspaces_;
  std::map<Identity, Peer> peers_;
  std::uint64_t lastOp_ = 0, lastRound_ = 0;
  Batch out_;
};

}  // namespace tealshelf
