#pragma once
#include "charter/charter.hpp"
#include "wire/messages.hpp"

namespace tealshelf {

/// What a data-plane node knows: the charter in force, the workers, the control nodes.
class Scene {
 public:
  Scene(asio::io_context& io, Boot const& boot, Rpc& rpc, string role);
  void start();
  std::shared_ptr<Charter const> charter() const { return charter_; }
  std::map<string, Worker> const& workers() const { return workers_; }
  /// Workers of a service that take new visits.
  vector<Worker const*> of(string const& service) const;
  Worker const* find(string const& id) const;
  /// True if the node may call itself ready: it has a charter, and news not too long ago. One that
  /// is cut off goes on with what it knows, as the workers themselves refuse what is not for them.
  bool sound() const { return charter_ && Clock::now() - heard_ < Ms(5 * boot_.bounds.inTouch); }
  /// True if a control node answered just now.
  bool near() const { return charter_ && Clock::now() - heard_ < Ms(boot_.bounds.inTouch / 3); }
  /// Control nodes to ask, the one in use first.
  vector<Addr> controls() const;
  std::function<void()> onNews;

 private:
  Task<void> loop();
  /// Asks every control node that is known at once, until the first charter is there.
  Task<void> first();
  Task<void> askOne(Addr at);
  void take(NewsReply const& r);
  asio::io_context& io_;
  Boot const& boot_;
  Rpc& rpc_;
  string role_;
  std::shared_ptr<Charter const> charter_;
  std::map<string, Worker> workers_;
  vector<Member> members_;
  std::set<Addr> asking_;
  Addr good_;  ///< the control node that answered last
  std::uint64_t life_ = 0, rev_ = 0;
  Moment heard_;
};

}  // namespace tealshelf
