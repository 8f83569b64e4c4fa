#pragma once
#include "fleet/nodes.hpp"

namespace tealshelf {

/// The workers that one control node knows of; no input or output of its own. The control node that
/// receives a worker's heartbeats, its registrar, tells the others of transitions only; they take the worker
/// for alive as long as its registrar is alive and doesn't say that it lost it.
class WorkerRegistry {
 public:
  explicit WorkerRegistry(Ms forgetAfter, NodeId self = NodeId()) : forget_(forgetAfter), self_(self) {}
  /// Takes a row in, own beat or another's word; true if data-plane nodes should hear of it.
  bool merge(Worker const& w, TimePoint now);
  /// Takes the whole registry of another control node in: what it should hear but doesn't name is lost.
  bool mergeAll(vector<Worker> const& workers, NodeId from, TimePoint now);
  /// A worker heard here begins or ends a rest.
  void rest(string const& id, bool resting);
  /// Another control node lives, and so do the workers that it hears.
  void alive(NodeId registrar, TimePoint now);
  /// True if the beat is late: a newer one of this life was taken.
  bool late(Worker const& w) const;
  /// Marks workers as lost whose beats are missing, and forgets ended ones in time; true if any was lost.
  bool sweep(TimePoint now);
  vector<Worker> since(std::uint64_t revision) const;
  /// The registry without the lost ones; the gone ones stand in it so that they don't come back.
  vector<Worker> all(std::uint64_t since = 0) const;
  /// Transitions since the last call, for the other control nodes.
  vector<Worker> fresh() { return std::exchange(fresh_, {}); }
  Worker const* find(string const& id) const;
  std::uint64_t revision() const { return revision_; }
  std::size_t size() const { return rows_.size(); }

 private:
  struct Row {
    Worker worker;
    TimePoint heardAt;
    std::uint64_t revision = 0;
    bool lost = false;
  };
  Ms forget_;
  NodeId self_;
  std::map<string, Row> rows_;
  vector<Worker> fresh_;
  std::uint64_t revision_ = 0;
};

/// Reads the body of a beat; throws badBeat.
Worker readBeat(string const& id, string const& body);

}  // namespace tealshelf
