#include "base/durable_log.hpp"

#include "base/disk_retry.hpp"

#include <filesystem>

namespace tealshelf {

DiskLimits diskLimits(Settings const& settings, double share) {
  constexpr std::int64_t minDiskMb = 8;
  double const bytes = static_cast<double>(std::max(settings.diskMb, minDiskMb)) * (1 << 20);
  Ms const inTouch = settings.bounds.inTouch;
  return {static_cast<std::size_t>(bytes * share), inTouch / 4, inTouch / 3};
}

DurableLog::DurableLog(asio::io_context& io, string directory, DiskLimits limits, SnapshotSource snapshot,
                       FileSystem& files)
    : io_(io),
      directory_(std::move(directory)),
      limits_(limits),
      snapshot_(std::move(snapshot)),
      files_(files),
      retryTimer_(io),
      stallTimer_(io),
      metrics_(directory_),
      sampler_(metrics().sample([this] { sampleMetrics(); })) {
  recovered_ =
      retryUntilDiskAvailable(directory_, limits_.maxRetryDelay, [this] { return readLog(files_, directory_); });
  writer_ = std::make_unique<LogWriter>(files_, directory_, recovered_.lastNumber);
  stateSize_ = recovered_.totalBytes;
  thread_ = std::thread([this] { run(); });
}

DurableLog::~DurableLog() {
  *alive_ = false;
  {
    std::lock_guard<std::mutex> const guard(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void DurableLog::append(string const& record) {
  // The snapshot that is due will include the record's change.
  if (snapshotRequired_) return;
  pendingJob_.encodedRecords += encodeRecord(record);
  if (pendingJob_.encodedRecords.size() <= limits_.maxLogSize(stateSize_)) return;
  snapshotRequired_ = true;
  string().swap(pendingJob_.encodedRecords);
}

void DurableLog::whenSynced(std::function<void()> callback) {
  pendingJob_.callbacks.push_back(std::move(callback));
  startJob();
}

Task<void> DurableLog::waitSynced() {
  struct Waiter {
    explicit Waiter(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    bool synced = false;
  };
  std::shared_ptr<Waiter> const waiter = std::make_shared<Waiter>(io_);
  whenSynced([waiter] {
    waiter->synced = true;
    waiter->timer.cancel();
  });
  error_code ignored;
  while (!waiter->synced) {
    if (!healthy()) throw Error(ErrorCode::diskUnavailable, directory_);
    waiter->timer.expires_after(limits_.stallTimeout / 2);
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void DurableLog::startJob() {
  bool const delayed = state_ == DiskState::failing && retryDelay_ > Ms(0);
  if (jobRunning_ || delayed) return;
  bool const nothingToDo = pendingJob_.encodedRecords.empty() && pendingJob_.callbacks.empty();
  if (nothingToDo && healthy()) return;
  Job job = takeJob();
  jobRunning_ = true;
  jobStartedAt_ = Clock::now();
  watchForStall();
  {
    std::lock_guard<std::mutex> const guard(mutex_);
    nextJob_ = std::move(job);
  }
  wake_.notify_one();
}

DurableLog::Job DurableLog::takeJob() {
  Job job = std::exchange(pendingJob_, Job());
  job.compacts = snapshotRequired_ || logSize_ + job.encodedRecords.size() > limits_.maxLogSize(stateSize_);
  snapshotRequired_ = false;
  if (!job.compacts) {
    logSize_ += encodeBatch("").size() + job.encodedRecords.size();
    return job;
  }
  metrics_.snapshots.increment();
  string().swap(job.encodedRecords);
  job.snapshotRecords = snapshot_();
  stateSize_ = 0;
  for (string const& record : job.snapshotRecords) stateSize_ += encodeRecord("").size() + record.size();
  logSize_ = 0;
  return job;
}

void DurableLog::run() {
  for (;;) {
    std::shared_ptr<Job> const job = std::make_shared<Job>();
    {
      std::unique_lock<std::mutex> guard(mutex_);
      wake_.wait(guard, [this] { return stopping_ || nextJob_; });
      if (!nextJob_) return;
      *job = std::move(*nextJob_);
      nextJob_.reset();
    }
    JobResult const result = executeJob(*job);
    asio::post(io_, [this, job, result, alive = alive_] {
      if (*alive) finishJob(*job, result);
    });
  }
}

DurableLog::JobResult DurableLog::executeJob(Job& job) {
  TimePoint const startedAt = Clock::now();
  JobResult result;
  if (job.compacts) {
    result.error = makeDirectoryDurable();
    if (!result.error) result.error = writer_->compact(std::move(job.snapshotRecords));
    result.removalError = writer_->removalError();
  } else if (!job.encodedRecords.empty()) {
    result.error = writer_->append(job.encodedRecords);
  }
  result.duration = std::chrono::duration_cast<Ms>(Clock::now() - startedAt);
  return result;
}

int DurableLog::makeDirectoryDurable() {
  if (files_.makeDirectory(directory_) && errno != EEXIST) return errno;
  // An existing directory is synced too: an earlier process may have ended before the sync.
  if (directoryDurable_) return 0;
  std::filesystem::path const parent = std::filesystem::path(directory_).parent_path();
  int const error = syncDirectory(files_, parent.empty() ? "." : parent.string());
  directoryDurable_ = !error;
  return error;
}

void DurableLog::finishJob(Job& job, JobResult const& result) {
  jobRunning_ = false;
  lastSyncDuration_ = result.duration;
  if (result.error) return failJob(job, result.error);
  retryDelay_ = Ms(0);
  setState(DiskState::healthy);
  if (result.removalError)
    logWarning("disk", directory_ + ": removing an old log file failed; the next snapshot retries it: " +
                           std::strerror(result.removalError));
  for (std::function<void()> const& callback : job.callbacks) callback();
  startJob();
}

/// Nothing of the job counts as synced; its callbacks wait for the next snapshot.
void DurableLog::failJob(Job& job, int error) {
  lastError_ = error;
  metrics_.failures.increment();
  snapshotRequired_ = true;
  pendingJob_.encodedRecords.clear();
  pendingJob_.callbacks.insert(pendingJob_.callbacks.begin(), std::make_move_iterator(job.callbacks.begin()),
                               std::make_move_iterator(job.callbacks.end()));
  setState(DiskState::failing);
  scheduleRetry();
}

void DurableLog::scheduleRetry() {
  retryDelay_ = nextRetryDelay(retryDelay_, limits_.maxRetryDelay);
  retryTimer_.expires_after(retryDelay_);
  retryTimer_.async_wait([this, alive = alive_](error_code) {
    if (!*alive) return;
    // startJob() doesn't start a job while a delay is set; the delay is kept for the next failure.
    Ms const delay = std::exchange(retryDelay_, Ms(0));
    startJob();
    retryDelay_ = delay;
  });
}

/// Marks the disk as stalled if the running job exceeds the stall timeout.
void DurableLog::watchForStall() {
  if (stallTimerRunning_) return;
  stallTimerRunning_ = true;
  stallTimer_.expires_at(jobStartedAt_ + limits_.stallTimeout);
  stallTimer_.async_wait([this, alive = alive_](error_code) {
    if (!*alive) return;
    stallTimerRunning_ = false;
    if (!jobRunning_) return;
    if (Clock::now() - jobStartedAt_ < limits_.stallTimeout) return watchForStall();
    setState(DiskState::stalled);
  });
}

void DurableLog::sampleMetrics() {
  metrics_.stateBytes.setCount(stateSize_);
  metrics_.logBytes.setCount(logSize_);
  metrics_.budgetBytes.setCount(limits_.budget);
  metrics_.overBudget.setCount(overBudget());
  metrics_.diskState.setCount(static_cast<int>(state_));
  metrics_.syncSeconds.set(std::chrono::duration<double>(lastSyncDuration_).count());
}

void DurableLog::setState(DiskState state) {
  bool const wasHealthy = healthy();
  state_ = state;
  if (wasHealthy == healthy()) return;
  if (healthy()) {
    logInfo("disk", directory_ + ": the disk is healthy again; writes succeed");
    return;
  }
  Error const problem(ErrorCode::diskUnavailable,
                      state == DiskState::stalled ? "the write or sync timed out" : std::strerror(lastError_));
  logWarning("disk", directory_ + ": " + problem.what());
}

}  // namespace tealshelf
