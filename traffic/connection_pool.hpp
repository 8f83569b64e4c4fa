#pragma once
#include "traffic/idle_limit.hpp"
#include "updates/fleet_view.hpp"

namespace tealshelf {

/// A connection to a worker.
struct WorkerConnection {
  explicit WorkerConnection(asio::io_context& io) : socket(io) {}
  /// True if it is open and neither a byte nor its end has arrived that nobody has read. What lies there before a
  /// request is written belongs to no request that is still to come.
  bool isOpenWithoutInput();
  /// True if an attempt was refused or failed on it: a second answer to that one may come late.
  bool hasFailed(string_view attempt) const;
  tcp::socket socket;
  beast::flat_buffer buffer;
  TimePoint keepUntil, idleSince;
  vector<std::uint64_t> failedAttempts;  ///< hashes of attempts that may come again
};

/// How long a connection may have been idle before it isn't trusted with a request that must not be sent twice: learnt
/// from those that were reset when they were used again. No input or output of its own.
class SafeIdleTime {
 public:
  SafeIdleTime(Ms longest, Ms shortest) : longest_(longest), shortest_(shortest), value_(longest) {}
  /// A connection idle for so long was reset when a request was sent on it.
  void noteReset(Ms idle) { value_ = std::max(shortest_, std::min(value_, idle / 2)); }
  /// One idle for so long still worked: what was learnt fades.
  void noteReused(Ms idle) {
    Ms const raise = idle > value_ ? (idle - value_) / 4 : Ms(1);
    value_ = std::min(longest_, value_ + raise);
  }
  Ms value() const { return value_; }

 private:
  Ms longest_, shortest_, value_;
};

/// Idle connections to workers.
class ConnectionPool {
 public:
  ConnectionPool(asio::io_context& io, Settings const& settings)
      : io_(io), settings_(settings), safeIdleTime_(4 * settings.bounds.inTouch, settings.bounds.step / 8) {}
  /// An idle connection on which nothing arrived, or a new one not yet connected. A request that must not be sent twice
  /// gets none that was idle for longer than is trusted, and no attempt gets one on which it failed before: a second
  /// answer to that one could come late and would bear the same id.
  std::unique_ptr<WorkerConnection> acquire(Worker const& worker, bool mayRepeat, string_view attempt);
  /// A new connection, not yet connected.
  std::unique_ptr<WorkerConnection> create() { return std::make_unique<WorkerConnection>(io_); }
  /// A new connection to a worker was reset before its first answer: the worker may have too many.
  void noteReset(string const& worker);
  /// Gives a connection back, clean and between requests. The oldest ones are closed where there are too many.
  void release(string const& worker, std::unique_ptr<WorkerConnection> connection);
  std::size_t idleCount(string const& worker) const;
  /// Closes what is idle for workers that are gone, for too long, or beyond what the configuration allows by now.
  void sweep(FleetView const& view);
  SafeIdleTime& safeIdleTime() { return safeIdleTime_; }
  asio::io_context& io() { return io_; }
  Settings const& settings() const { return settings_; }

 private:
  struct IdleConnections {
    explicit IdleConnections(Ms recoveryInterval) : limit(recoveryInterval) {}
    vector<std::unique_ptr<WorkerConnection>> connections;  ///< the one given back last at the end
    IdleConnectionLimit limit;
  };
  IdleConnections& idleOf(string const& worker) {
    return idle_.try_emplace(worker, settings_.bounds.inTouch).first->second;
  }

  /// Closes the oldest ones beyond the limit.
  static void trim(IdleConnections& idle);

  asio::io_context& io_;
  Settings const& settings_;
  SafeIdleTime safeIdleTime_;
  std::map<string, IdleConnections> idle_;  ///< by worker
};

}  // namespace tealshelf
