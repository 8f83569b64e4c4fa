#pragma once
#include "tools/soak/cluster.hpp"
#include "tools/soak/http_call.hpp"
#include "tools/soak/random.hpp"

namespace tealshelf::soak {

/// The operator: keeps changing the configuration, retries each change until its outcome is clear, sometimes sends two
/// concurrent changes on the same base, and reads the active configuration.
class OperatorClient {
 public:
  OperatorClient(asio::io_context& io, Cluster& cluster, Verdict& verdict, std::uint64_t seed);
  /// Sends one change based on the newest acknowledged version; false if it isn't acknowledged in time.
  Task<bool> change(TimePoint until);
  /// Changes the configuration, with a pause between changes, until stop().
  Task<void> runChanges(Ms pause);
  /// Sends an evacuation order for a zone to random control nodes until one acknowledges it; false on a timeout.
  Task<bool> orderEvacuation(http::verb verb, string zone, Ms limit);
  /// Reads the configuration at random control nodes until stop().
  Task<void> runReads();
  void stop() { stopping_ = true; }
  std::size_t callsInFlight() const { return callsInFlight_; }
  /// Reads the configuration at one node and checks it. Returns its version, 0 if there is no configuration yet, or
  /// nothing if the read failed.
  Task<std::optional<std::uint64_t>> read(ClusterNode& control);

  std::uint64_t newestAcknowledged() const { return acknowledged_.empty() ? 0 : acknowledged_.back().version; }
  TimePoint newestAcknowledgedAt() const { return acknowledged_.empty() ? TimePoint() : acknowledged_.back().at; }
  /// Acknowledged versions in the order of their acknowledgement.
  vector<std::uint64_t> acknowledgedVersions() const;
  /// Waits for the next acknowledgement; returns the node that sent it, or null on a timeout.
  Task<ClusterNode*> awaitAcknowledgement(Ms limit);

 private:
  struct SentChange {
    std::uint64_t version = 0, base = 0;
    string text;
    bool refused = false;  ///< a 412 or 400 was received: it must never become active
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
  std::size_t callsInFlight_ = 0;
  bool stopping_ = false;
};

}  // namespace tealshelf::soak
