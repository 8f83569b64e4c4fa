#pragma once
#include "charter/charter.hpp"
#include "lots/keeper.hpp"
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
  Task<CallReply> settings(ForwardCall q);
  Task<CallReply> putSettings(ForwardCall q);
  Task<CallReply> retire(ForwardCall q);
  Task<std::optional<CallReply>> elsewhere(string const& shelf, ForwardCall q);
  Task<NewsReply> news(News q);
  Task<void> sweepLoop();
  void changed();
  /// Notes changed rows of the register on the disk, without waiting.
  void note();
  bool tableSound() const;

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
  std::uint64_t life_ = randomId();
  std::uint64_t charterVersion_ = 0;
  string charterText_;
  std::shared_ptr<Charter const> charter_;
  std::set<std::shared_ptr<asio::steady_timer>> asking_;
  std::uint64_t turn_ = 0, noted_ = 0;
};

}  // namespace tealshelf
