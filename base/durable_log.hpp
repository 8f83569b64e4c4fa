#pragma once
#include "base/log_metrics.hpp"
#include "base/log_reader.hpp"
#include "base/log_writer.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace tealshelf {

/// What a log may use of its disk, and how long it waits for it.
struct DiskLimits {
  /// Bytes of all files of the log together, as long as the state stays under maxStateSize().
  std::size_t budget;
  /// A disk that hasn't answered for so long counts as failing.
  Ms stallTimeout;
  /// The pause before a failing disk is tried again grows up to this.
  Ms maxRetryDelay;

  /// Size of a log file that is always allowed before a snapshot replaces it.
  std::size_t minLogSize() const { return budget / 10; }
  /// Size of a log file at which a snapshot replaces it, after a state of a size. The old snapshot, the log and a new
  /// snapshot that has grown by all that is in the log must fit. Each snapshot holds the state in memory twice for a
  /// while, so they are as rare as the space allows.
  std::size_t maxLogSize(std::size_t stateSize) const {
    std::size_t const fits = budget / 2 > stateSize ? budget / 2 - stateSize : 0;
    return std::clamp(fits, minLogSize(), budget / 3);
  }
  /// While a snapshot is written the old one, the log and the new one stand side by side, and the new one may have
  /// grown by what is in the log: 4 + 1 + 4 + 1 tenths. Some of it is kept back, as the state may outgrow its part by
  /// what was promised before.
  std::size_t maxStateSize() const { return budget * 35 / 100; }
};

/// The limits of a log that may use a share of the disk.
DiskLimits diskLimits(Settings const& settings, double share);

enum class DiskState {
  healthy,
  failing,  ///< the last write or sync failed
  stalled   ///< the present one takes too long
};

/// A log with snapshots, written and synced by a thread of its own.
///
/// A disk that is full, fails or hangs ends nothing: what waits for a sync waits on, the disk is tried again with a
/// growing pause, and the first thing that it takes is the whole state.
///
/// All functions are called on the io thread; callbacks come there. The io_context and the file system must outlive it.
class DurableLog {
 public:
  /// Gives the records of a snapshot of the whole state.
  using SnapshotSource = std::function<vector<string>()>;

  DurableLog(asio::io_context& io, string directory, DiskLimits limits, SnapshotSource snapshot,
             FileSystem& files = systemFileSystem());
  ~DurableLog();
  DurableLog(DurableLog const&) = delete;
  DurableLog& operator=(DurableLog const&) = delete;

  /// What stood on the disk at the start. None of it may be relied on before the first whenSynced() calls back: an
  /// earlier process may have left it unsynced, so the first write is a snapshot.
  RecoveredLog const& recovered() const { return recovered_; }
  void releaseRecovered() { recovered_ = RecoveredLog(); }

  /// Queues a record; it is on the disk once a later whenSynced() calls back.
  void append(string const& record);
  /// Calls back when everything appended so far is synced, directory included.
  void whenSynced(std::function<void()> callback);
  /// Writes what was appended, without a call back.
  void flush() { startJob(); }
  /// Waits until everything appended so far is synced; throws diskUnavailable once the disk isn't healthy.
  Task<void> waitSynced();

  DiskState state() const { return state_; }
  bool healthy() const { return state_ == DiskState::healthy; }
  /// The errno of the last failure.
  int lastError() const { return lastError_; }
  DiskLimits const& limits() const { return limits_; }
  /// True if the state had outgrown its part of the budget when it was last written whole. It lags behind by what is in
  /// the log: who takes new state in must count it himself.
  bool overBudget() const { return stateSize_ > limits_.maxStateSize(); }
  /// How long the last write and sync took.
  Ms lastSyncDuration() const { return lastSyncDuration_; }

 private:
  struct Job {
    string encodedRecords;           ///< to append
    vector<string> snapshotRecords;  ///< or the whole state, if it compacts
    vector<std::function<void()>> callbacks;
    bool compacts = false;
  };
  struct JobResult {
    int error = 0, removalError = 0;
    Ms duration{0};
  };
  // On the thread.
  void run();
  JobResult executeJob(Job& job);
  /// Makes the directory, and sees to it that its name outlasts a loss of power; gives 0 or errno.
  int makeDirectoryDurable();
  // On the io thread.
  /// Hands what has gathered to the thread, unless it is at work or a failing disk is left in peace.
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
  std::unique_ptr<LogWriter> writer_;  ///< used by the thread only
  bool directoryDurable_ = false;      ///< likewise
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
  std::shared_ptr<bool> const alive_ = std::make_shared<bool>(true);  ///< what is posted checks it

  std::mutex mutex_;  ///< guards the next two
  bool stopping_ = false;
  std::optional<Job> nextJob_;
  std::condition_variable wake_;
  std::thread thread_;
};

}  // namespace tealshelf
