#pragma once
#include "updates/messages.hpp"
#include "updates/versioned_table.hpp"

namespace tealshelf {

/// Serves updates to those who ask: the same part at control nodes and at relays.
///
/// What is published is set directly: the configuration, `common` for all zones, and one table a zone. Runs on the io
/// thread; settings must outlive it.
class UpdatePublisher {
 public:
  /// What the serving node can say of itself.
  struct Proof {
    bool healthy = false;
    int depth = 0;
    TimePoint provenAt;  ///< when control last had a majority, as far as known here
  };

  /// Holds at most so many requests at once; 0: no bound.
  UpdatePublisher(asio::io_context& io, Settings const& settings, std::size_t maxHeld)
      : io_(io), settings_(settings), maxHeld_(maxHeld) {}

  std::function<Proof()> proof;
  VersionedTable common;
  std::map<string, VersionedTable> zones;
  void setConfiguration(std::uint64_t version, string text) {
    configurationVersion_ = version;
    configuration_ = std::move(text);
  }
  std::uint64_t configurationVersion() const { return configurationVersion_; }
  string const& configuration() const { return configuration_; }
  /// Answers held requests after a delay, in which more updates may come.
  void notifyAfter(Ms delay);

  /// Answers a request as soon as there are updates for it.
  Task<UpdateReply> serve(UpdateRequest request);
  /// Notes who asks.
  void noteSubscriber(UpdateRequest const& request, TimePoint now);
  /// The answer to a request if it is due now: there are updates, or the time is up, or this node is unhealthy.
  std::optional<UpdateReply> answerIfDue(UpdateRequest const& request, TimePoint receivedAt, TimePoint now,
                                         bool crowded);

  /// Nodes that asked here lately, and those that asked at them.
  vector<DataNode> recentNodes(TimePoint now) const;
  /// How requests at workers went, as told by the subscribers since the last call.
  vector<WorkerTally> takeTallies();
  /// Adds tallies, or puts back what couldn't be passed on.
  void addTallies(vector<WorkerTally> const& tallies);

  /// What the subscribers told of versions since the last call.
  vector<VersionTally> takeVersionTallies() { return versionTallies_.take(); }
  void addVersionTallies(vector<VersionTally> const& tallies) { versionTallies_.add(tallies); }

  std::size_t heldRequests() const { return held_.size(); }
  std::uint64_t repliesSent() const { return repliesSent_; }
  std::uint64_t bytesSent() const { return bytesSent_; }

 private:
  struct Subscriber {
    DataNode self;
    TimePoint heardAt;
    std::uint64_t nodesDigest = 0;
    vector<DataNode> nodes;  ///< that asked at it
  };
  struct DeltaKey {
    std::uint64_t fromDigest = 0, toDigest = 0;
    auto operator<=>(DeltaKey const&) const = default;
  };
  bool isRecent(Subscriber const& subscriber, TimePoint now) const;
  Ms holdOf(UpdateRequest const& request) const;
  /// Tells a node that knows nothing whom to ask.
  void fillIntroduction(UpdateRequest const& request, UpdateReply& reply);
  string const& serializedDelta(VersionedTable const& table, std::uint64_t fromDigest);

  asio::io_context& io_;
  Settings const& settings_;
  std::size_t maxHeld_;
  std::uint64_t configurationVersion_ = 0;
  string configuration_;
  bool notifying_ = false;
  std::set<std::shared_ptr<asio::steady_timer>> held_;  ///< one a held request; cancelled when there is news
  std::map<string, Subscriber> subscribers_;            ///< by name
  std::map<string, WorkerTally> tallies_;               ///< by worker
  VersionEvidence versionTallies_;
  std::map<DeltaKey, string> serializedDeltas_;  ///< serialized once for all subscribers
  std::uint64_t repliesSent_ = 0, bytesSent_ = 0;
};

}  // namespace tealshelf
