#pragma once
#include "configuration/configuration.hpp"
#include "updates/update_node.hpp"

namespace tealshelf {

/// What a data-plane node knows: the configuration in force, the workers, the control nodes. It asks a
/// relay or a control node for updates, and relays it to others that ask here.
class FleetView {
 public:
  FleetView(asio::io_context& io, Settings const& settings, RpcClient& rpc, string role, Address at);
  void start(RpcServer& server);
  std::shared_ptr<Configuration const> configuration() const { return configuration_; }
  std::map<string, Worker> const& workers() const { return workers_; }
  /// Workers of a service that take new requests.
  vector<Worker const*> const& of(string const& service) const;
  Worker const* find(string const& id) const;
  /// Rises whenever the workers change.
  std::uint64_t revision() const { return revision_; }
  /// True if the node may call itself ready: it has a configuration, and updates not too long ago. One that
  /// is cut off goes on with what it knows, as the workers themselves refuse what is not for them.
  bool healthy() const { return configuration_ && Clock::now() - node_.fresh() < Ms(5 * settings_.bounds.inTouch); }
  /// True if the updates is fresh.
  bool near() const { return configuration_ && Clock::now() - node_.fresh() < Ms(settings_.bounds.inTouch / 3); }
  /// Control nodes to ask, those that failed lately last.
  vector<Address> controls() const { return node_.controls(Clock::now()); }
  /// Tells how a call at a control node went.
  void worked(Address const& a) { node_.worked(a); }
  void failed(Address const& a) { node_.missed(a, Clock::now()); }
  std::function<void()> onUpdate;
  /// Tells how a request at a worker went; it goes up with the next ask.
  void tally(string const& id, bool ok) { publisher_.addTallies({WorkerTally{id, ok ? 1.0 : 0.0, ok ? 0.0 : 1.0}}); }
  /// Counts for the log: asks sent, answers given here, bytes of them, nodes held.
  std::array<std::uint64_t, 4> counts() const {
    return {asks_, publisher_.replies(), publisher_.bytes(), publisher_.asking()};
  }

 private:
  Task<void> loop();
  /// Asks the control nodes that are known, one after the other without waiting, until the first configuration is
  /// there.
  Task<void> first();
  Task<void> askOne(Address at);
  Task<bool> carryOut(UpdateNode::Plan p);

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  UpdatePublisher publisher_;
  UpdateNode node_;
  std::shared_ptr<Configuration const> configuration_;
  std::map<string, Worker> workers_;
  mutable std::map<string, vector<Worker const*>> ready_;
  mutable std::uint64_t readyAt_ = 0;
  std::set<Address> asking_;
  TimePoint tallied_;
  std::uint64_t revision_ = 1, asks_ = 0;
};

}  // namespace tealshelf
