#pragma once
#include "tools/soak/cluster.hpp"
#include "tools/soak/http_call.hpp"
#include "tools/soak/random.hpp"

namespace tealshelf::soak {

/// The operator: changes the configuration all the time, sends each change until its end is clear, at times two on the
/// same base at once, and reads what is in force.
class OperatorClient {
 public:
  OperatorClient(asio::io_context& io, Cluster& cluster, Verdict& verdict, std::uint64_t seed);
  /// Sends one change on top of the newest version until it is acknowledged; false if it wasn't by then.
  Task<bool> change(TimePoint until);
  /// Changes the configuration with a pause between until stop().
  Task<void> changes(Ms pause);
  /// Sends an order about a zone, unchanged, to one node after the other until it is acknowledged; false if it isn't.
  Task<bool> orderEvacuation(http::verb verb, string zone, Ms limit);
  /// Reads at any control node until stop().
  Task<void> reads();
  void stop() { stopping_ = true; }
  std::size_t underWay() const { return underWay_; }
  /// Reads at one node; the answer is checked. The version that came, if one did.
  Task<std::optional<std::uint64_t>> read(ClusterNode& control);

  std::uint64_t newestAcknowledged() const { return acknowledged_.empty() ? 0 : acknowledged_.back().version; }
  TimePoint newestAcknowledgedAt() const { return acknowledged_.empty() ? TimePoint() : acknowledged_.back().at; }
  /// Versions that were acknowledged, in their order.
  vector<std::uint64_t> acknowledgedVersions() const;
  /// Waits for the next acknowledgement; the node that gave it, or none in time.
  Task<ClusterNode*> awaitAcknowledgement(Ms limit);

 private:
  struct SentChange {
    std::uint64_t version = 0, base = 0;
    string text;
    bool refused = false;  ///< a 412 came: it must never be in force
  };
  struct Acknowledged {
    std::uint64_t version = 0;
    TimePoint at;
  };
  enum class Outcome { acknowledged, refused, unclear };

  SentChange& draw();
  Task<Outcome> send(SentChange& change, TimePoint until);
  Task<HttpAnswer> put(SentChange const& change, ClusterNode& control);
  void noteAcknowledged(SentChange const& change, ClusterNode& by);
  Task<void> race();
  void checkRead(ClusterNode const& control, HttpAnswer const& answer, std::uint64_t version);

  asio::io_context& io_;
  Cluster& cluster_;
  Verdict& verdict_;
  Random random_;
  std::deque<SentChange> sent_;
  vector<Acknowledged> acknowledged_;
  ClusterNode* acknowledgedBy_ = nullptr;
  std::size_t underWay_ = 0;
  bool stopping_ = false;
};

}  // namespace tealshelf::soak
