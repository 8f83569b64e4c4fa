#pragma once
#include "base/log_writer.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace tealshelf {

/// What a log may use of its disk, and how long it waits for it.
struct DiskLimits {
  /// Bytes of all files of the log together, as long as the state stays under stateMost().
  std::size_t budget;
  /// A disk that hasn't answered for so long counts as refusing.
  Ms stall;
  /// The pause before a refusing disk is tried again grows up to this.
  Ms retryMost;

  /// Where the log is replaced by a snapshot, whatever the state's size.
  std::size_t logMost() const { return budget / 5; }
  /// Where the log is replaced by a snapshot after a state of a size. The old snapshot, the log and a new snapshot
  /// that has grown by all that is in the log must fit. Each snapshot holds the state in memory twice for a
  /// while, so they are as rare as the space allows.
  std::size_t logMost(std::size_t stateSize) const {
    std::size_t const fits = budget / 2 > stateSize ? budget / 2 - stateSize : 0;
    return std::clamp(fits, logMost(), budget / 3);
  }
  /// While a snapshot is written the old one, the log and the new one stand side by side, and the
  /// new one may have grown by what is in the log: 3 + 2 + 3 + 2 tenths.
  std::size_t stateMost() const { return budget * 3 / 10; }
};

/// The limits of a log that may use a share of the disk.
DiskLimits diskLimits(Settings const& settings, double share);

/// How the disk of a log does.
enum class DiskState { well, refusing, stalled };

/// A log with snapshots, written and synced by a thread of its own.
///
/// A disk that is full, fails or hangs ends nothing: what waits for a sync waits on, the disk is
/// tried again with a growing pause, and the first thing that it takes is the whole state.
class DiskLog {
 public:
  /// Gives the records of a snapshot of the whole state.
  using Snapshot = std::function<vector<string>()>;
  DiskLog(asio::io_context& io, string folder, DiskLimits limits, Snapshot snapshot, FileLayer& files = systemFiles());
  ~DiskLog();

  /// What stood on the disk at the start. None of it may be relied on before the first synced()
  /// calls back: an earlier life may have left it unsynced, so the first write is a snapshot.
  Found const& found() const { return found_; }
  void forget() { found_ = Found(); }
  /// Queues a record; it is on the disk once a later synced() calls back.
  void append(string const& record);
  /// Calls back on the io thread when everything appended so far is synced, folder included.
  void synced(std::function<void()> done);
  /// Writes what was appended, without a call back.
  void write() { hand(); }
  /// Waits until everything appended so far is synced; throws diskRefuses once the disk isn't well.
  Task<void> settled();

  DiskState state() const { return state_; }
  bool well() const { return state_ == DiskState::well; }
  /// The errno of the last refusal.
  int error() const { return error_; }
  /// True if the state has outgrown its part of the budget: nothing new should be taken in.
  bool crowded() const { return stateSize_ > limits_.stateMost(); }
  Ms lastSync() const { return lastSync_; }

 private:
  struct Job {
    string bytes;            ///< framed records to append
    vector<string> records;  ///< or the whole state
    vector<std::function<void()>> calls;
    bool renew = false;
  };
  struct Result {
    int error = 0, removalError = 0;
    Ms took{0};
  };
  void run();
  Result carryOut(Job& job);
  void hand();
  void finished(Job& job, Result const& result);
  void refused(Job& job, int error);
  void become(DiskState state);
  void watch();
  void retryLater();

  asio::io_context& io_;
  string folder_;
  DiskLimits limits_;
  Snapshot snapshot_;
  FileLayer& files_;
  Found found_;
  std::unique_ptr<LogWriter> writer_;  ///< used by the thread only
  Job next_;
  std::size_t stateSize_ = 0, logSize_ = 0;
  bool mustRenew_ = true, inWork_ = false, watching_ = false;
  Moment since_;  ///< when the job in work was handed over
  DiskState state_ = DiskState::well;
  int error_ = 0;
  Ms pause_{0};
  Ms lastSync_{0};
  asio::steady_timer retry_, watch_;
  std::shared_ptr<bool> const alive_ = std::make_shared<bool>(true);  ///< what is posted checks it

  std::mutex lock_;
  std::condition_variable wake_;
  bool stop_ = false;
  std::optional<Job> work_;  ///< ring of one: the thread takes a whole batch at a time
  std::thread thread_;
};

/// The identity of the disk in a folder, made when the folder is empty; throws diskFailed.
Identity identityOf(string const& folder, bool& fresh, FileLayer& files = systemFiles());
/// The same, but waits for a disk that refuses: a process can't begin without an identity.
Identity awaitIdentity(string const& folder, bool& fresh, Ms retryMost);

}  // namespace tealshelf
