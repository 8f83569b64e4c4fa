#pragma once
#include "base/log_metrics.hpp"
#include "base/log_reader.hpp"
#include "base/log_writer.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace tealshelf {

/// Disk space and time limits of a log.
struct DiskLimits {
  /// Bytes of all files of the log together, as long as the state stays under maxStateSize().
  std::size_t budget;
  /// A write or sync that takes longer than this makes the disk count as stalled.
  Ms stallTimeout;
  /// Upper bound of the backoff between retries on a failing disk.
  Ms maxRetryDelay;

  /// Lower bound of maxLogSize().
  std::size_t minLogSize() const { return budget / 10; }
  /// Size of the log file at which a snapshot replaces it, if the last snapshot had `stateSize` bytes. The old
  /// snapshot, the log and a new snapshot that has grown by the whole log must fit into the budget. A snapshot holds
  /// the state in memory twice while it is written, so snapshots are as rare as the space allows.
  std::size_t maxLogSize(std::size_t stateSize) const {
    std::size_t const available = budget / 2 > stateSize ? budget / 2 - stateSize : 0;
    return std::clamp(available, minLogSize(), budget / 3);
  }
  /// Largest state that fits. While a snapshot is written, the old snapshot, the log and the new snapshot exist at the
  /// same time, and the new one may have grown by the log: 4 + 1 + 4 + 1 tenths of the budget. The limit is 35 % rather
  /// than 40 %, as commitments made earlier may still let the state grow past it.
  std::size_t maxStateSize() const { return budget * 35 / 100; }
};

/// The limits of a log that may use the fraction `share` of the disk.
DiskLimits diskLimits(Settings const& settings, double share);

enum class DiskState {
  healthy,
  failing,  ///< the last write or sync failed
  stalled   ///< the current write or sync has exceeded the stall timeout
};

/// An append-only log with snapshots, written and synced by its own thread.
///
/// A disk that is full, fails or hangs doesn't end the process: callers that wait for a sync keep waiting, the disk is
/// retried with exponential backoff, and the first successful write is a snapshot of the whole state.
///
/// All functions are called on the io thread, and callbacks run there. The io_context and the file system must outlive
/// the log.
class DurableLog {
 public:
  /// Returns the records of a snapshot of the whole state.
  using SnapshotSource = std::function<vector<string>()>;

  DurableLog(asio::io_context& io, string directory, DiskLimits limits, SnapshotSource snapshot,
             FileSystem& files = systemFileSystem());
  ~DurableLog();
  DurableLog(DurableLog const&) = delete;
  DurableLog& operator=(DurableLog const&) = delete;

  /// What was read from the disk at the start. It isn't known to be durable before the first whenSynced() callback: an
  /// earlier process may have left it unsynced, so the first write is a snapshot.
  RecoveredLog const& recovered() const { return recovered_; }
  void releaseRecovered() { recovered_ = RecoveredLog(); }

  /// Queues a record; it is durable once the callback of a later whenSynced() runs.
  void append(string const& record);
  /// Calls back when everything appended so far is synced, including the directory entry.
  void whenSynced(std::function<void()> callback);
  /// Starts writing what was appended, without a callback.
  void flush() { startJob(); }
  /// Waits until everything appended so far is synced; throws diskUnavailable if the disk stops being healthy.
  Task<void> waitSynced();

  DiskState state() const { return state_; }
  bool healthy() const { return state_ == DiskState::healthy; }
  /// The errno of the last failure.
  int lastError() const { return lastError_; }
  DiskLimits const& limits() const { return limits_; }
  /// True if the state exceeded its part of the budget at the last snapshot. It doesn't count the log after that
  /// snapshot: a caller that admits new state must count it itself.
  bool overBudget() const { return stateSize_ > limits_.maxStateSize(); }
  /// Duration of the last write and sync.
  Ms lastSyncDuration() const { return lastSyncDuration_; }

 private:
  struct Job {
    string encodedRecords;           ///< to append; empty if the job compacts
    vector<string> snapshotRecords;  ///< the whole state, if the job compacts
    vector<std::function<void()>> callbacks;
    bool compacts = false;
  };
  struct JobResult {
    int error = 0, removalError = 0;
    Ms duration{0};
  };
  // On the log's thread.
  void run();
  JobResult executeJob(Job& job);
  /// Creates the directory and syncs its parent, so that it survives a loss of power; returns 0 or errno.
  int makeDirectoryDurable();
  // On the io thread.
  /// Hands the pending job to the thread, unless a job is running or a retry delay hasn't expired.
  void startJob();
  Job takeJob();
  void finishJob(Job& job, JobResult const& result);
  void failJob(Job& job, int error);
  void setState(DiskState state);
  void watchForStall();
  void scheduleRetry();
  void sampleMetrics();

  asio::io_context& io_;
  string directory_;
  DiskLimits limits_;
  SnapshotSource snapshot_;
  FileSystem& files_;
  RecoveredLog recovered_;
  std::unique_ptr<LogWriter> writer_;  ///< used by the log's thread only
  bool directoryDurable_ = false;      ///< used by the log's thread only
  Job pendingJob_;
  std::size_t stateSize_ = 0, logSize_ = 0;
  bool snapshotRequired_ = true;
  bool jobRunning_ = false;
  bool stallTimerRunning_ = false;
  TimePoint jobStartedAt_;
  DiskState state_ = DiskState::healthy;
  int lastError_ = 0;
  Ms retryDelay_{0};
  Ms lastSyncDuration_{0};
  asio::steady_timer retryTimer_, stallTimer_;
  LogMetrics metrics_;
  SamplerRegistration sampler_;
  std::shared_ptr<bool> const alive_ = std::make_shared<bool>(true);  ///< checked by posted functions

  std::mutex mutex_;  ///< guards stopping_ and nextJob_
  bool stopping_ = false;
  std::optional<Job> nextJob_;
  std::condition_variable wake_;
  std::thread thread_;
};

}  // namespace tealshelf
