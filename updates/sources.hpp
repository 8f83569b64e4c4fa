#pragma once
#include "updates/publisher.hpp"

namespace tealshelf {

/// Which node is asked for updates next; no input or output of its own. One that failed rests for a
/// growing, jittered time, so that many who lose one relay don't all press on the next at once.
class Sources {
 public:
  Sources(Ms base, std::uint64_t dice) : base_(base), dice_(dice) {}
  void set(vector<Address> parents, vector<Address> controls);
  /// The first that doesn't rest, relays before control nodes; else the one that rests least.
  Address next(TimePoint now) const;
  /// True if all rest, so that the asker should pause.
  bool resting(TimePoint now) const;
  bool isParent(Address const& a) const { return std::find(parents_.begin(), parents_.end(), a) != parents_.end(); }
  std::size_t parents() const { return parents_.size(); }
  void worked(Address const& a) { rows_.erase(a); }
  void failed(Address const& a, TimePoint now);
  /// Control nodes, those that rest last.
  vector<Address> controls(TimePoint now) const;

 private:
  struct Row {
    int fails = 0;
    TimePoint until;
  };
  bool rests(Address const& a, TimePoint now) const;
  Ms base_;
  std::uint64_t dice_;
  vector<Address> parents_, controls_;
  std::map<Address, Row> rows_;
};

/// What a node has of the updates, kept in its publisher so that it can serve it on.
class UpdateCopy {
 public:
  enum class Verdict { taken, older, gap, deep, unhealthy };
  /// A chain of relays is never longer than this.
  static constexpr int deepest = 2;
  UpdateCopy(UpdatePublisher& publisher, string zone, Ms slack)
      : publisher_(publisher), zone_(std::move(zone)), slack_(slack) {}
  /// Takes an answer in whose ask was sent at a moment. Content of an older proof than what is
  /// here, by more than a slack for the network, is refused; a configuration never goes back.
  Verdict take(UpdateReply const& r, TimePoint sent, std::function<void(TableRow const&)> const& onCommon,
               std::function<void(TableRow const&)> const& onZone);
  /// The versions to ask with; after a gap a whole copy is asked for.
  void versions(UpdateRequest& q) const;
  TimePoint fresh() const { return fresh_; }
  int depth() const { return depth_; }

 private:
  UpdatePublisher& publisher_;
  string zone_;
  Ms slack_;
  TimePoint fresh_;
  int depth_ = 0;
  bool gap_ = false;
};

}  // namespace tealshelf
