#include "base/disk.hpp"

namespace tealshelf {

namespace {
/// The pause after one of a given length.
Ms nextPause(Ms pause, Ms most) {
  return std::clamp(pause * 2, most / 16 + Ms(1), most + Ms(1));
}
/// Tries what a process needs at its start until the disk no longer refuses it.
template <class Attempt>
auto untilTaken(string const& folder, Ms most, Attempt attempt) {
  for (Ms pause(0);;) {
    try {
      return attempt();
    } catch (Error const& x) {
      if (x.code() != Code::diskFailed) throw;
      if (pause == Ms(0)) warn("disk", folder + ": the start waits for the disk: " + x.what());
    }
    pause = nextPause(pause, most);
    std::this_thread::sleep_for(pause);
  }
}
}  // namespace

DiskLimits diskLimits(Settings const& settings, double share) {
  constexpr std::int64_t leastMb = 8;
  double const bytes = static_cast<double>(std::max(settings.diskMb, leastMb)) * (1 << 20);
  Ms const inTouch(settings.bounds.inTouch);
  return {static_cast<std::size_t>(bytes * share), inTouch / 4, inTouch / 3};
}

DiskLog::DiskLog(asio::io_context& io, string folder, DiskLimits limits, Snapshot snapshot, FileLayer& files)
    : io_(io),
      folder_(std::move(folder)),
      limits_(limits),
      snapshot_(std::move(snapshot)),
      files_(files),
      retry_(io),
      watch_(io) {
  found_ = untilTaken(folder_, limits_.retryMost, [this] { return readLogs(files_, folder_); });
  writer_ = std::make_unique<LogWriter>(files_, folder_, found_.lastNo);
  stateSize_ = found_.bytes;
  thread_ = std::thread([this] { run(); });
}
DiskLog::~DiskLog() {
  *alive_ = false;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    stop_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void DiskLog::append(string const& record) {
  // A snapshot that is to come holds the record's change.
  if (mustRenew_) return;
  next_.bytes += framed(record);
  if (next_.bytes.size() <= limits_.logMost(stateSize_)) return;
  mustRenew_ = true;
  string().swap(next_.bytes);
}
void DiskLog::synced(std::function<void()> done) {
  next_.calls.push_back(std::move(done));
  hand();
}

Task<void> DiskLog::settled() {
  struct Wait {
    explicit Wait(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    bool ready = false;
  };
  std::shared_ptr<Wait> const wait = std::make_shared<Wait>(io_);
  synced([wait] {
    wait->ready = true;
    wait->timer.cancel();
  });
  error_code ignored;
  while (!wait->ready) {
    if (!well()) throw Error(Code::diskRefuses, folder_);
    wait->timer.expires_after(limits_.stall / 2);
    co_await wait->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

/// Hands what has gathered to the thread, unless it is at work or a refusing disk is left in peace.
void DiskLog::hand() {
  bool const pausing = state_ == DiskState::refusing && pause_ > Ms(0);
  if (inWork_ || pausing) return;
  if (next_.bytes.empty() && next_.calls.empty() && state_ == DiskState::well) return;
  Job job = std::move(next_);
  next_ = Job();
  job.renew = mustRenew_ || logSize_ + job.bytes.size() > limits_.logMost(stateSize_);
  if (job.renew) {
    string().swap(job.bytes);
    job.records = snapshot_();
    stateSize_ = 0;
    for (string const& record : job.records) stateSize_ += framed("").size() + record.size();
    logSize_ = 0;
  } else {
    logSize_ += batchOf("").size() + job.bytes.size();
  }
  mustRenew_ = false;
  inWork_ = true;
  since_ = Clock::now();
  watch();
  {
    std::lock_guard<std::mutex> const guard(lock_);
    work_ = std::move(job);
  }
  wake_.notify_one();
}

void DiskLog::run() {
  for (;;) {
    std::shared_ptr<Job> const job = std::make_shared<Job>();
    {
      std::unique_lock<std::mutex> guard(lock_);
      wake_.wait(guard, [this] { return stop_ || work_; });
      if (!work_) return;
      *job = std::move(*work_);
      work_.reset();
    }
    Result const result = carryOut(*job);
    asio::post(io_, [this, job, result, alive = alive_] {
      if (*alive) finished(*job, result);
    });
  }
}

DiskLog::Result DiskLog::carryOut(Job& job) {
  Moment const began = Clock::now();
  Result result;
  if (job.renew) {
    if (files_.makeFolder(folder_) && errno != EEXIST) result.error = errno;
    if (!result.error) result.error = writer_->renew(std::move(job.records));
    result.removalError = writer_->removalError();
  } else if (!job.bytes.empty()) {
    result.error = writer_->append(job.bytes);
  }
  result.took = std::chrono::duration_cast<Ms>(Clock::now() - began);
  return result;
}

void DiskLog::finished(Job& job, Result const& result) {
  inWork_ = false;
  lastSync_ = result.took;
  if (result.error) return refused(job, result.error);
  pause_ = Ms(0);
  become(DiskState::well);
  if (result.removalError)
    warn("disk", folder_ + ": an old file can't be removed: " + std::strerror(result.removalError));
  for (std::function<void()> const& done : job.calls) done();
  hand();
}

/// Nothing of the batch counts as synced. Its calls wait for the snapshot that comes next.
void DiskLog::refused(Job& job, int error) {
  error_ = error;
  mustRenew_ = true;
  next_.bytes.clear();
  next_.calls.insert(next_.calls.begin(), std::make_move_iterator(job.calls.begin()),
                     std::make_move_iterator(job.calls.end()));
  become(DiskState::refusing);
  retryLater();
}

void DiskLog::retryLater() {
  pause_ = nextPause(pause_, limits_.retryMost);
  retry_.expires_after(pause_);
  retry_.async_wait([this, alive = alive_](error_code) {
    if (!*alive) return;
    Ms const paused = std::exchange(pause_, Ms(0));
    hand();
    pause_ = paused;
  });
}

/// Finds a disk that doesn't answer.
void DiskLog::watch() {
  if (watching_) return;
  watching_ = true;
  watch_.expires_at(since_ + limits_.stall);
  watch_.async_wait([this, alive = alive_](error_code) {
    if (!*alive) return;
    watching_ = false;
    if (!inWork_) return;
    if (Clock::now() - since_ < limits_.stall) return watch();
    become(DiskState::stalled);
  });
}

void DiskLog::become(DiskState state) {
  bool const wasWell = well();
  state_ = state;
  if (wasWell == well()) return;
  if (well())
    tell("disk", folder_ + ": the disk takes writes again");
  else
    warn("disk",
         folder_ + ": " +
             Error(Code::diskRefuses, state == DiskState::stalled ? "no answer" : std::strerror(error_)).what());
}

Identity identityOf(string const& folder, bool& fresh, FileLayer& files) {
  string const path = folder + "/identity";
  string text;
  bool const missing = files.read(path, text) != 0;
  if (missing && errno != ENOENT) throw Error(Code::diskFailed, path);
  fresh = missing || text.size() != 16;
  int failed = 0;
  if (fresh) {
    text = hex(randomId());
    if (files.makeFolder(folder) && errno != EEXIST) failed = errno;
    string const made = folder + "/identity.new";
    if (!failed) failed = writeSynced(files, made, text);
    if (!failed && files.rename(made, path)) failed = errno;
  }
  // The name may be there without lasting: an earlier life may have ended before it was synced.
  if (!failed) failed = syncFolder(files, folder);
  if (failed) throw Error(Code::diskFailed, path + ": " + std::strerror(failed));
  return Identity(std::strtoull(text.c_str(), nullptr, 16));
}
Identity awaitIdentity(string const& folder, bool& fresh, Ms retryMost) {
  return untilTaken(folder, retryMost, [&] { return identityOf(folder, fresh); });
}

}  // namespace tealshelf
