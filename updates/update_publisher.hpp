#pragma once
#include "updates/messages.hpp"
#include "updates/versioned_table.hpp"

namespace tealshelf {

/// Serves updates to subscribers by long polling, at control nodes and at relays.
///
/// The owner sets what is published: the configuration, the table `common` for all zones, and one table per zone. Runs
/// on the io thread; the settings must outlive it.
class UpdatePublisher {
 public:
  /// The state of the serving node, sent with each reply.
  struct Proof {
    bool healthy = false;
    int depth = 0;
    TimePoint provenAt;  ///< when the control plane last had a majority, as far as is known here
  };

  /// Holds at most `maxHeld` requests at once; 0 for no bound.
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
  /// Answers held requests after a delay, so that updates in this time are sent together.
  void notifyAfter(Ms delay);

  /// Answers a request as soon as there are updates for it.
  Task<UpdateReply> serve(UpdateRequest request);
  /// Records the subscriber, its nodes and its tallies.
  void noteSubscriber(UpdateRequest const& request, TimePoint now);
  /// The reply to a request if it is due: there are updates, the hold time is over, or this node is unhealthy. A
  /// crowded node, which holds as many requests as it may, replies as unhealthy.
  std::optional<UpdateReply> answerIfDue(UpdateRequest const& request, TimePoint receivedAt, TimePoint now,
                                         bool crowded);

  /// Nodes that polled this one recently, and the nodes that polled them.
  vector<DataNode> recentNodes(TimePoint now) const;
  /// Outcomes of requests at workers that subscribers reported since the last call.
  vector<WorkerTally> takeTallies();
  /// Adds tallies, also those that couldn't be sent on.
  void addTallies(vector<WorkerTally> const& tallies);

  /// Outcomes by version that subscribers reported since the last call.
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
    vector<DataNode> nodes;  ///< that poll the subscriber
  };
  struct DeltaKey {
    std::uint64_t fromDigest = 0, toDigest = 0;
    auto operator<=>(DeltaKey const&) const = default;
  };
  bool isRecent(Subscriber const& subscriber, TimePoint now) const;
  Ms holdOf(UpdateRequest const& request) const;
  /// Fills in the nodes of the subscriber's zone and the members, from which it finds its sources.
  void fillIntroduction(UpdateRequest const& request, UpdateReply& reply);
  string const& serializedDelta(VersionedTable const& table, std::uint64_t fromDigest);

  asio::io_context& io_;
  Settings const& settings_;
  std::size_t maxHeld_;
  std::uint64_t configurationVersion_ = 0;
  string configuration_;
  bool notifying_ = false;
  std::set<std::shared_ptr<asio::steady_timer>> held_;  ///< one per held request; cancelled when there are updates
  std::map<string, Subscriber> subscribers_;            ///< by name
  std::map<string, WorkerTally> tallies_;               ///< by worker
  VersionEvidence versionTallies_;
  std::map<DeltaKey, string> serializedDeltas_;  ///< serialized once for all subscribers
  std::uint64_t repliesSent_ = 0, bytesSent_ = 0;
};

}  // namespace tealshelf
