#pragma once
#include "charter/charter.hpp"
#include "lots/keeper.hpp"
#include "news/hub.hpp"
#include "registry/health.hpp"
#include "registry/workers.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// The control plane of one machine: registry, register of workers, charter, lots and news.
class ControlNode {
 public:
  ControlNode(asio::io_context& io, Boot const& boot);
  void start();
  /// Hands everything over and ends inside the grace.
  void stop();

 private:
  Task<CallAnswer> handle(Call c);
  Task<CallReply> servers(ForwardCall q);
  Task<CallReply> configurationCall(ForwardCall q);
  Task<CallReply> putConfiguration(ForwardCall q);
  Task<CallReply> retire(ForwardCall q);
  Task<std::optional<CallReply>> elsewhere(string const& shelf, ForwardCall q);
  Task<void> sweepLoop();
  /// Brings the news book up to the register and the group, and tells those who ask.
  void changed();
  /// Brings the lists of the zones' nodes up to who asks here and at the other control nodes.
  void listNodes();
  bool onPing(PingMsg const& m);
  void fillPing(PingMsg& m, bool full);
  /// Has workers rest that fail more than their like.
  void judge();
  /// Where the next beats of a worker should go: a control node of its zone if there is one.
  std::optional<Addr> hearerOf(Worker const& w) const;
  /// Notes changed rows of the register on the disk, without waiting.
  void note();
  bool tableWhole() const;

  asio::io_context& io_;
  Boot const& boot_;
  Rpc rpc_;
  Driver driver_;
  LotKeeper keeper_;
  WorkerTable table_;
  RpcServer server_;
  HttpServer http_;
  Moment started_ = Clock::now();
  std::unique_ptr<DiskLog> log_;
  std::set<Identity> tables_;  ///< nodes whose whole register was taken in
  bool changing_ = false, stopping_ = false;
  struct Part {
    std::uint64_t digest = 0;
    vector<NodeRow> nodes;
    Moment at;
  };
  NewsHub hub_;
  WorkerHealth health_;
  std::map<Identity, Part> parts_;  ///< which nodes ask at which other control node
  std::uint64_t booked_ = 0, noted_ = 0, nodesDigest_ = 0;
  GroupNo groupNo_;
  int nodesTurns_ = 0;
  bool wasHealthy_ = false;
};

}  // namespace tealshelf
