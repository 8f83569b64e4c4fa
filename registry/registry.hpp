#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Number of an ownership of a shelf; rises with every handover.
struct Epoch {
  std::uint64_t n = 0, who = 0;
  auto operator<=>(Epoch const&) const = default;
  MSGPACK_DEFINE(n, who)
};
/// One key of a shelf as a disk holds it.
struct Entry {
  Epoch epoch;
  std::uint64_t seq = 0;
  string value;
  bool gone = false;
  MSGPACK_DEFINE(epoch, seq, value, gone)
};
using Entries = std::map<string, Entry>;

/// A disk of the group.
struct Member {
  Identity id;
  string name, ip, zone;
  bool founder = false;  ///< of the first group: its disk never missed anything
  bool disk = true;      ///< keeps its state on a disk
  bool operator==(Member const&) const = default;
  MSGPACK_DEFINE(id, name, ip, zone, founder, disk)
};
/// The disks that hold the control state; changed one at a time under a rising number.
struct Group {
  GroupNo no;
  vector<Member> members;
  std::uint64_t oldSize = 0;  ///< size of the group before
  Member const* find(Identity id) const;
  std::size_t most() const { return members.size() / 2 + 1; }
  MSGPACK_DEFINE(no, members, oldSize)
};

/// Messages between the registries of the group.
struct Mail {
  enum Sort { prepare, promise, accept, accepted, confirm, confirmed };
  int sort = prepare;
  GroupNo group;
  Identity from, to;
  string shelf;
  Epoch epoch, promised;
  std::uint64_t round = 0, prev = 0, upTo = 0;
  bool ok = false, full = false;
  Entries entries;
  MSGPACK_DEFINE(sort, group, from, to, shelf, epoch, promised, round, prev, upTo, ok, full, entries)
};

/// How far a shelf has come at a node; goes round with the pings.
struct ShelfMark {
  string shelf;
  Epoch epoch;
  std::uint64_t upTo = 0, committed = 0;
  bool owned = false;
  MSGPACK_DEFINE(shelf, epoch, upTo, committed, owned)
};
/// What a node tells the others of itself.
struct Ping {
  Member self;
  GroupNo group;
  bool copied = false;
  vector<Identity> hears;
  vector<ShelfMark> marks;
  MSGPACK_DEFINE(self, group, copied, hears, marks)
};

/// The end of a proposal or of a confirmation.
struct Outcome {
  std::uint64_t op = 0;
  bool ok = false;
};

/// What the registry wants done: records synced first, then mails sent and outcomes told.
struct Batch {
  vector<string> records;
  vector<Mail> mails;
  vector<Outcome> outcomes;
  bool sync = false;
};

/// The control state of one node, without any input or output of its own.
class Registry {
 public:
  struct Times {
    Ms alive, again;
  };
  struct Change {
    string key, value;
    bool gone = false;
  };
  Registry(Member self, Times t) : self_(std::move(self)), times_(t) {}

  /// Takes back a record of the disk; a bad one throws badMessage.
  void replay(string const& record);
  vector<string> snapshot() const;

  void tick(Moment now);
  void mail(Mail const& m, Moment now);
  void heard(Ping const& p, Moment now);
  Ping ping(Moment now) const;
  /// Installs a newer group; copied says that this disk holds all keys.
  void install(Group const& g, bool copied);
  /// Takes in the shelves that other members hold.
  void absorb(vector<std::pair<string, std::pair<Epoch, Entries>>> const& shelves);
  vector<std::pair<string, std::pair<Epoch, Entries>>> dump() const;
  void markCopied();
  /// Makes a shelf known, so that its wanted owner takes it.
  void know(string const& shelf);

  std::uint64_t propose(string const& shelf, vector<Change> changes, Moment now);
  std::uint64_t confirm(string const& shelf, Moment now);
  Batch take() {
    Batch b = std::move(out_);
    out_ = Batch();
    return b;
  }

  bool owns(string const& shelf) const;
  Epoch epochOf(string const& shelf) const;
  /// The committed values of a shelf that this node owns.
  std::map<string, string> const& view(string const& shelf) const;
  /// The committed values of a shelf as a node that doesn't own it knows them; empty if it isn't sure.
  std::optional<std::map<string, string>> settled(string const& shelf) const;
  /// Who should own a shelf by what this node knows.
  Member const* wanted(string const& shelf, Moment now) const;
  Group const& group() const { return group_; }
  Member const& self() const { return self_; }
  bool copied() const { return copied_; }
  bool alive(Identity id, Moment now) const;
  /// True if a member runs, holds all keys and knows this group.
  bool ready(Identity id, Moment now) const;
  Moment lastHeard(Identity id) const;
  /// When a majority that hears this node, this node included, was heard last.
  Moment provenAt(Moment now) const;
  /// True if a majority was heard lately, and says that it hears this node.
  bool inMajority(Moment now) const;
  vector<string> shelves() const;

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
  struct Shelf {
    Epoch promised, applied;
    std::uint64_t upTo = 0;
    Entries entries;
    Phase phase = Phase::none;
    Epoch epoch, seen;
    std::uint64_t next = 1, committed = 0;
    std::set<Identity> grants;
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
    Ping ping;
  };
  bool mutual(Peer const& p) const;
  void startTaking(string const& name, Shelf& s, Moment now);
  void stepDown(Shelf& s);
  void sendPrepare(string const& name, Shelf& s, Moment now);
  void sendWrite(string const& name, Shelf& s, Write& w, Moment now);
  void sendRead(string const& name, Shelf& s, Read& r, Moment now);
  void commit(Shelf& s);
  void onPrepare(Mail const& m, Shelf& s);
  void onPromise(Mail const& m, Shelf& s, Moment now);
  void onAccept(Mail const& m, Shelf& s);
  void onAccepted(Mail const& m, Shelf& s);
  void onConfirm(Mail const& m, Shelf& s);
  void onConfirmed(Mail const& m, Shelf& s);
  void refused(Mail const& m, Shelf& s);
  Mail reply(Mail const& m, int sort) const;
  void post(Mail m) { out_.mails.push_back(std::move(m)); }
  void record(int sort, string const& shelf, Epoch e, Mail const* m);
  void apply(Shelf& s, Epoch e, bool full, std::uint64_t prev, std::uint64_t upTo, Entries const& es);
  bool mayVote() const { return copied_ && group_.find(self_.id); }
  void finish(vector<std::uint64_t> const& ops, bool ok);

  Member self_;
  Times times_;
  Group group_;
  bool copied_ = false;
  std::map<string, Shelf> shelves_;
  std::map<Identity, Peer> peers_;
  std::uint64_t lastOp_ = 0, lastRound_ = 0;
  Batch out_;
};

}  // namespace tealshelf
