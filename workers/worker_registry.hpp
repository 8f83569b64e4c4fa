#pragma once
#include "workers/registry_digest.hpp"

namespace tealshelf {

/// The workers that one control node knows of. Performs no I/O.
///
/// A worker's registrar, the control node that receives its heartbeats, sends only state transitions to the other
/// control nodes. They consider the worker alive while its registrar is alive and hasn't reported it lost.
class WorkerRegistry {
 public:
  /// A worker is lost when no heartbeat has arrived for `lostAfter`.
  explicit WorkerRegistry(Ms lostAfter, NodeId self = NodeId()) : lostAfter_(lostAfter), self_(self) {}

  /// Merges a worker's heartbeat or another node's report of it; true if the published record changed.
  bool merge(Worker const& worker, TimePoint now);
  /// Merges all workers that another control node has in some buckets. A worker of these buckets that is registered
  /// with that node but not listed is lost, unless it was reported after the node was asked.
  bool mergeBuckets(vector<Worker> const& workers, std::set<std::uint32_t> const& buckets, NodeId from,
                    TimePoint askedAt, TimePoint now);
  /// As mergeBuckets(), for the whole registry of the other node.
  bool mergeAll(vector<Worker> const& workers, NodeId from, TimePoint now);
  void setEjected(string const& id, bool ejected);
  /// Another control node is alive, and so are the workers registered with it.
  void noteRegistrarAlive(NodeId registrar, TimePoint now);
  /// Marks workers without recent heartbeats as lost and drops old records of removed and lost ones; true if any was
  /// lost.
  bool expire(TimePoint now);

  /// True if a heartbeat is stale: a newer one was merged before, or the worker was removed.
  bool isLate(Worker const& worker) const;
  Worker const* find(string const& id) const;
  /// Workers that changed after a revision; lost ones are marked as removed.
  vector<Worker> changedSince(std::uint64_t revision) const;
  /// Workers that changed after a revision, without lost ones. Removed ones are included, so that the receiver doesn't
  /// add them again.
  vector<Worker> present(std::uint64_t sinceRevision = 0) const;
  /// Calls a function with each worker that is neither lost nor removed.
  void forEachPresent(std::function<void(Worker const&)> const& take) const;
  /// Workers of some buckets, without lost ones.
  vector<Worker> presentIn(std::set<std::uint32_t> const& buckets) const;
  /// Digest of the published records; equal on control nodes with equal records.
  RegistryDigest const& digest() const { return digest_; }
  /// Returns and clears the transitions to send to the other control nodes.
  vector<Worker> takeTransitions() { return std::exchange(transitions_, {}); }
  std::uint64_t revision() const { return revision_; }
  std::size_t size() const { return rows_.size(); }

 private:
  struct Row {
    Worker worker;
    TimePoint heardAt;
    TimePoint reportedAt;  ///< last heartbeat or report of this worker itself
    std::uint64_t revision = 0;
    std::uint64_t hash = 0;  ///< its part of the digest; 0 once the worker is lost or removed
    bool lost = false;
  };
  bool insert(Worker const& worker, TimePoint now);
  bool update(Row& row, Worker const& worker, TimePoint now);
  bool markLost(Row& row, Worker const& report);
  bool mergeNamed(vector<Worker> const& workers, NodeId from, TimePoint askedAt, TimePoint now,
                  std::function<bool(string const&)> const& covers);
  /// Assigns a row a new revision and updates the digest.
  void noteChange(Row& row);

  Ms lostAfter_;
  NodeId self_;
  std::map<string, Row> rows_;
  RegistryDigest digest_;
  vector<Worker> transitions_;
  std::uint64_t revision_ = 0;
};

}  // namespace tealshelf
