#pragma once
#include "base/disk.hpp"
#include "registry/membership.hpp"
#include "wire/messages.hpp"

namespace tealshelf {

/// Runs a Registry against the disk, the connections and the clock.
class Driver {
 public:
  Driver(asio::io_context& io, Boot const& boot, Rpc& rpc);
  /// Starts pings, founding or joining, and the listeners of the registry's messages.
  void start(RpcServer& server);
  /// Has a change on a majority of the disks; false once it is sure that this node won't do so.
  /// It waits as long as that takes: a change given up on could still come into force later,
  /// after another was made on what stood before it.
  Task<bool> propose(string shelf, vector<Registry::Change> changes);
  /// True once a majority says that this node still owns the shelf.
  Task<bool> confirm(string shelf, Ms limit);
  Registry& reg() { return reg_; }
  Registry const& reg() const { return reg_; }
  bool healthy() const { return reg_.inMajority(Clock::now()); }
  /// True if the group bears the losses that it should.
  bool wide() const { return Membership::bears(reg_.group(), boot_.surviveMachines); }
  /// Where the wanted owner of a shelf is; nothing if unknown.
  std::optional<Addr> ownerOf(string const& shelf) const;
  /// Hands everything over: this node is wanted no more.
  void leave() {
    leaving_ = true;
    pingAll();
  }
  void pingAll();
  /// Called for each ping that comes in, with what it carries; true if the registers differ.
  std::function<bool(PingMsg const&)> onPing;
  /// Fills in the workers and nodes that a ping shall carry; full asks for the whole register.
  std::function<void(PingMsg&, bool full)> fillPing;
  /// Called whenever the control state may have changed.
  std::function<void()> onChange;
  Ms period() const { return period_; }

 private:
  struct Wait {
    explicit Wait(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    bool done = false, ok = false;
  };
  void pump();
  PingMsg pingFor(GroupNo theirs, bool full);
  void send(std::shared_ptr<Batch> b);
  Task<bool> await(std::uint64_t op, Ms limit);
  Task<void> tickLoop();
  Task<void> pingLoop();
  Task<void> joinLoop();
  bool mayJoin() const;
  Task<bool> found();
  Task<bool> copyAll();
  Task<bool> joined(JoinGroup q);
  Task<bool> changeGroup(JoinGroup const& q);
  Task<void> pruneLoop();
  Addr at(string const& ip) const { return boot_.controlAt(ip); }

  asio::io_context& io_;
  Boot const& boot_;
  Rpc& rpc_;
  Ms period_;
  bool fresh_ = false, leaving_ = false, changing_ = false, warned_ = false;
  Identity id_;
  Registry reg_;
  std::unique_ptr<DiskLog> log_;
  std::map<std::uint64_t, std::shared_ptr<Wait>> waits_;
  std::map<std::uint64_t, bool> early_;
  std::map<Identity, std::pair<PingMsg, Moment>> others_;
  void pingOne(string const& ip, PingMsg const& m);
  std::set<string> pinging_;         ///< addresses whose answer to a ping is awaited
  std::map<string, int> differ_;     ///< how many pings in a row came with another register, by address
  std::map<string, Moment> backAt_;  ///< when a ping was last sent back at once
  std::set<string> owned_;
  std::uint64_t pings_ = 0;
  Moment started_ = Clock::now();
};

}  // namespace tealshelf
