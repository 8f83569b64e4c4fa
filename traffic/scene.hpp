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
  /// True if the news are fresh enough to serve by.
  bool sound() const { return charter_ && Clock::now() - heard_ < Ms(boot_.bounds.inTouch); }
  /// Control nodes to ask, the one in use first.
  vector<Addr> controls() const;
  std::function<void()> onNews;

 private:
  Task<void> loop();
  void take(NewsReply const& r);
  asio::io_context& io_;
  Boot const& boot_;
  Rpc& rpc_;
  string role_;
  std::shared_ptr<Charter const> charter_;
  std::map<string, Worker> workers_;
  vector<Member> members_;
  vector<Addr> order_;
  std::uint64_t life_ = 0, rev_ = 0;
  Moment heard_;
};

}  // namespace tealshelf
