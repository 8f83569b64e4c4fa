#pragma once
#include "traffic/idle_limit.hpp"
#include "updates/fleet_view.hpp"
#include "wire/overload_manager.hpp"

namespace tealshelf {

/// A connection to a worker.
struct WorkerConnection {
  explicit WorkerConnection(asio::io_context& io) : socket(io) { overloadManager().noteWorkerConnection(true); }
  ~WorkerConnection() { overloadManager().noteWorkerConnection(false); }
  WorkerConnection(WorkerConnection const&) = delete;
  WorkerConnection& operator=(WorkerConnection const&) = delete;
  /// True if it is open and no unread bytes or end of stream are pending. Bytes that are pending before a request is
  /// written can't belong to its answer.
  bool isOpenWithoutInput();
  /// True if an attempt was refused or failed on this connection: a second answer to it may arrive late.
  bool hasFailed(string_view attempt) const;
  tcp::socket socket;
  beast::flat_buffer buffer;
  TimePoint keepUntil, idleSince;
  vector<std::uint64_t> failedAttempts;  ///< hashes of attempts that may be retried
};

/// How long a connection may have been idle and still be reused for a non-repeatable request. Adapts to connections
/// that were reset on reuse. Performs no I/O.
class SafeIdleTime {
 public:
  SafeIdleTime(Ms longest, Ms shortest) : longest_(longest), shortest_(shortest), value_(longest) {}
  /// A connection that had been idle for `idle` was reset when a request was sent on it.
  void noteReset(Ms idle) { value_ = std::max(shortest_, std::min(value_, idle / 2)); }
  /// A connection that had been idle for `idle` was reused with success: raises the limit.
  void noteReused(Ms idle) {
    Ms const raise = idle > value_ ? (idle - value_) / 4 : Ms(1);
    value_ = std::min(longest_, value_ + raise);
  }
  Ms value() const { return value_; }

 private:
  Ms longest_, shortest_, value_;
};

/// A pool of idle connections to workers.
class ConnectionPool {
 public:
  ConnectionPool(asio::io_context& io, Settings const& settings)
      : io_(io), settings_(settings), safeIdleTime_(4 * settings.bounds.inTouch, settings.bounds.step / 8) {}
  /// An idle connection without pending input, or a new one not yet connected. A non-repeatable request gets none that
  /// was idle for longer than the safe idle time, and no attempt gets one on which it failed before: a second answer to
  /// the failed one could arrive late and would have the same id. Null at the process's limit, as create().
  std::unique_ptr<WorkerConnection> acquire(Worker const& worker, bool mayRepeat, string_view attempt);
  /// A new connection, not yet connected. At the process's limit the one that was idle for the longest time is closed
  /// for it; null if none is idle.
  std::unique_ptr<WorkerConnection> create();
  /// A new connection to a worker was reset before its first answer: the worker may have too many connections.
  void noteReset(string const& worker);
  /// Returns a connection without pending input to the pool. Closes the oldest ones beyond the limit.
  void release(string const& worker, std::unique_ptr<WorkerConnection> connection);
  std::size_t idleCount(string const& worker) const;
  /// Closes idle connections to workers that are gone, expired ones, and those beyond the configuration's limit.
  void sweep(FleetView const& view);
  SafeIdleTime& safeIdleTime() { return safeIdleTime_; }
  asio::io_context& io() { return io_; }
  Settings const& settings() const { return settings_; }

 private:
  struct IdleConnections {
    explicit IdleConnections(Ms recoveryInterval) : limit(recoveryInterval) {}
    vector<std::unique_ptr<WorkerConnection>> connections;  ///< the most recently used one last
    IdleConnectionLimit limit;
  };
  IdleConnections& idleOf(string const& worker) {
    return idle_.try_emplace(worker, settings_.bounds.inTouch).first->second;
  }

  /// Closes the connection that was idle for the longest time.
  void closeLongestIdle();
  /// Closes the oldest connections beyond the limit.
  static void trim(IdleConnections& idle);

  asio::io_context& io_;
  Settings const& settings_;
  SafeIdleTime safeIdleTime_;
  std::map<string, IdleConnections> idle_;  ///< by worker
};

}  // namespace tealshelf
