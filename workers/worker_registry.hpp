#pragma once
#include "workers/registry_digest.hpp"

namespace tealshelf {

/// The workers that one control node knows of; no input or output of its own.
///
/// The control node that receives a worker's heartbeats, its registrar, tells the others of transitions only. They take
/// the worker for alive as long as its registrar is alive and doesn't say that it lost it.
class WorkerRegistry {
 public:
  /// A worker whose heartbeats are missing for `lostAfter` is lost.
  explicit WorkerRegistry(Ms lostAfter, NodeId self = NodeId()) : lostAfter_(lostAfter), self_(self) {}

  /// Takes a worker in, by its own heartbeat or another node's word; true if data-plane nodes should hear of it.
  bool merge(Worker const& worker, TimePoint now);
  /// Takes in all that another control node has in some buckets: what it should hear there but doesn't name is lost,
  /// unless word of it came after the node was asked.
  bool mergeBuckets(vector<Worker> const& workers, std::set<std::uint32_t> const& buckets, NodeId from,
                    TimePoint askedAt, TimePoint now);
  /// The same for its whole registry.
  bool mergeAll(vector<Worker> const& workers, NodeId from, TimePoint now);
  void setEjected(string const& id, bool ejected);
  /// Another control node lives, and so do the workers that it hears.
  void noteRegistrarAlive(NodeId registrar, TimePoint now);
  /// Marks workers as lost whose heartbeats are missing, and forgets ended ones in time; true if any was lost.
  bool expire(TimePoint now);

  /// True if a heartbeat is late: a newer one of the worker was taken, or the worker has ended.
  bool isLate(Worker const& worker) const;
  Worker const* find(string const& id) const;
  /// Workers that changed after a revision, lost ones as removed.
  vector<Worker> changedSince(std::uint64_t revision) const;
  /// Workers that changed after a revision, without the lost ones; the removed ones stand in it so that they don't come
  /// back.
  vector<Worker> present(std::uint64_t sinceRevision = 0) const;
  /// Hands each present worker that has not ended to a function.
  void forEachPresent(std::function<void(Worker const&)> const& take) const;
  /// The present ones in some buckets.
  vector<Worker> presentIn(std::set<std::uint32_t> const& buckets) const;
  /// Digest of what data-plane nodes are told; the same at nodes that know the same.
  RegistryDigest const& digest() const { return digest_; }
  /// Transitions since the last call, for the other control nodes.
  vector<Worker> takeTransitions() { return std::exchange(transitions_, {}); }
  std::uint64_t revision() const { return revision_; }
  std::size_t size() const { return rows_.size(); }

 private:
  struct Row {
    Worker worker;
    TimePoint heardAt;
    TimePoint reportedAt;  ///< of the last word about this very worker
    std::uint64_t revision = 0;
    std::uint64_t hash = 0;  ///< what the worker adds to the digest; 0 once it is lost or has ended
    bool lost = false;
  };
  bool insert(Worker const& worker, TimePoint now);
  bool update(Row& row, Worker const& worker, TimePoint now);
  bool markLost(Row& row, Worker const& report);
  bool mergeNamed(vector<Worker> const& workers, NodeId from, TimePoint askedAt, TimePoint now,
                  std::function<bool(string const&)> const& covers);
  /// Gives a row a new revision and brings the digest up to it.
  void noteChange(Row& row);

  Ms lostAfter_;
  NodeId self_;
  std::map<string, Row> rows_;
  RegistryDigest digest_;
  vector<Worker> transitions_;
  std::uint64_t revision_ = 0;
};

}  // namespace tealshelf
