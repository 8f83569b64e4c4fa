#pragma once
#include "updates/messages.hpp"
#include "updates/relays.hpp"
#include "updates/versioned_table.hpp"

namespace tealshelf {

/// Serves updates to those who ask: the same part at control nodes and at relays.
class UpdatePublisher {
 public:
  /// What the serving node can say of itself.
  struct Proof {
    bool healthy = false;
    int depth = 0;
    TimePoint fresh;  ///< when control last had a majority, as far as known here
  };
  /// Holds at most so many asks at once; 0: no bound.
  UpdatePublisher(asio::io_context& io, Settings const& settings, std::size_t most)
      : io_(io), settings_(settings), most_(most) {}
  std::function<Proof()> proof;
  VersionedTable common;
  std::map<string, VersionedTable> zones;
  void setConfiguration(std::uint64_t version, string text) {
    version_ = version;
    configuration_ = std::move(text);
  }
  std::uint64_t configurationVersion() const { return version_; }
  string const& configuration() const { return configuration_; }
  /// Wakes held asks, after a moment in which more updates may come.
  void changed(Ms gather);
  /// Notes who asks.
  void note(UpdateRequest const& q, TimePoint now);
  /// The answer to an ask if it is due now: there is updates, or the time is up, or there is no health.
  std::optional<UpdateReply> answer(UpdateRequest const& q, TimePoint came, TimePoint now, bool crowded);
  /// Answers an ask as soon as there is updates for it.
  Task<UpdateReply> serve(UpdateRequest q);
  /// Nodes that asked here lately, and those that asked at them.
  vector<NodeRow> heard(TimePoint now) const;
  /// How requests at workers went, as told by the askers since the last call.
  vector<WorkerTally> takeTallies();
  /// Puts back what couldn't be passed on.
  void addTallies(vector<WorkerTally> const& l);
  std::size_t asking() const { return held_.size(); }
  std::uint64_t replies() const { return replies_; }
  std::uint64_t bytes() const { return bytes_; }

 private:
  struct Asker {
    NodeRow self;
    TimePoint at;
    std::uint64_t children = 0;
    vector<NodeRow> list;
  };
  string const& packedDelta(VersionedTable const& b, std::uint64_t from);
  asio::io_context& io_;
  Settings const& settings_;
  std::size_t most_;
  std::uint64_t version_ = 0, replies_ = 0, bytes_ = 0;
  string configuration_;
  bool gathering_ = false;
  std::set<std::shared_ptr<asio::steady_timer>> held_;
  std::map<string, Asker> askers_;
  std::map<string, std::pair<double, double>> tallies_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, string> packed_;  ///< deltas are packed once for all askers
};

}  // namespace tealshelf
