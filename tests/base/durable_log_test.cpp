#include "base/durable_log.hpp"
#include "base/node_id.hpp"
#include "tests/base/memory_disk.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/crc.hpp>

using namespace tealshelf;
using sim::MemoryDisk;

namespace {
string const folder = "/d";
string const firstLog = logFilePath(folder, LogFileKind::log, 1);
DiskLimits const limits{4000, Ms(5), Ms(2)};

string encodeAll(vector<string> const& records) {
  string out;
  for (string const& record : records) out += encodeRecord(record);
  return out;
}
string nameOf(std::size_t n) {
  return "record " + std::to_string(n) + string(n % 23, '.');
}

enum class WriterFault { no, ignoresSyncErrors, retriesFailedSync, trustsUnsyncedRecords };

/// Writes as LogWriter does, or in one of the ways that lose records.
class TestedWriter {
 public:
  TestedWriter(MemoryDisk& disk, WriterFault how, std::uint64_t last)
      : disk_(disk), fault_(how), correctWriter_(disk, folder, last) {
    number_ = last;
  }
  bool whole() const { return fault_ == WriterFault::no ? correctWriter_.isOpen() : file_ >= 0; }
  int append(string const& records) {
    if (fault_ == WriterFault::no) return correctWriter_.append(records);
    int error = writeAll(disk_, file_, encodeBatch(records));
    if (!error && disk_.sync(file_)) error = EIO;
    if (error && fault_ == WriterFault::retriesFailedSync && !disk_.sync(file_)) return 0;
    if (error) file_ = -1;
    return error;
  }
  int compact(vector<string> const& records) {
    if (fault_ != WriterFault::ignoresSyncErrors) return compactCorrectly(records);
    // As before: the syncs of the snapshot, the log and the folder go unlooked at.
    ++number_;
    int const next = disk_.open(folder + "/next", FileSystem::OpenMode::truncate);
    if (next < 0) return EIO;
    int error = writeAll(disk_, next, encodeFileHeader(LogFileKind::snapshot) + encodeBatch(encodeAll(records)));
    disk_.sync(next);
    if (!error && disk_.rename(folder + "/next", logFilePath(folder, LogFileKind::snapshot, number_))) error = EIO;
    if (error) return error;
    if (openLog() < 0) return EIO;
    disk_.sync(file_);
    syncDirectory(disk_, folder);
    for (LogFile const& file : listLogFiles(disk_, folder))
      if (file.number < number_) disk_.remove(logFilePath(folder, file.kind, file.number));
    return 0;
  }

 private:
  int openLog() {
    file_ = disk_.open(logFilePath(folder, LogFileKind::log, number_), FileSystem::OpenMode::append);
    return file_ < 0 || writeAll(disk_, file_, encodeFileHeader(LogFileKind::log)) ? -1 : file_;
  }
  int compactCorrectly(vector<string> const& records) {
    ++number_;
    int const error = correctWriter_.compact(records);
    if (!error && fault_ != WriterFault::no)
      file_ = disk_.open(logFilePath(folder, LogFileKind::log, number_), FileSystem::OpenMode::append);
    return error;
  }

  MemoryDisk& disk_;
  WriterFault fault_;
  LogWriter correctWriter_;
  std::uint64_t number_ = 0;
  int file_ = -1;
};

struct Trial {
  std::uint64_t seed;
  std::size_t failFrom, failCount;
  WriterFault how;
};
/// A life of changes, kills and losses of power; true if something acknowledged was lost, or
/// something is called corrupt that no one had damaged.
bool loses(Trial const& trial) {
  MemoryDisk disk(trial.seed);
  disk.failFrom = trial.failFrom;
  disk.failCount = trial.failCount;
  vector<string> state;
  std::set<string> acknowledged;
  std::size_t made = 0;
  for (int restart = 0; restart < 4; ++restart) {
    RecoveredLog const found = readLog(disk, folder);
    std::set<string> const there(found.records.begin(), found.records.end());
    bool const whole = std::includes(there.begin(), there.end(), acknowledged.begin(), acknowledged.end());
    if (!whole || !found.corruptions.empty()) return true;
    state.assign(there.begin(), there.end());
    TestedWriter writer(disk, trial.how, found.lastNumber);
    // What is read at the start is relied on at once: an owner answers from it.
    if (trial.how == WriterFault::trustsUnsyncedRecords) acknowledged = there;
    for (std::size_t step = disk.dice(9); step > 0; --step) {
      state.push_back(nameOf(made++));
      bool const compacts = !writer.whole() || disk.dice(4) == 0;
      int const error = compacts ? writer.compact(state) : writer.append(encodeRecord(state.back()));
      if (!error) acknowledged.insert(state.begin(), state.end());
    }
    if (disk.dice(2)) disk.losePower();
  }
  return false;
}
/// Fails each call in turn, once and for a while; gives the number of trials that lost something.
std::size_t losses(WriterFault how) {
  std::size_t lost = 0;
  for (std::size_t call = 0; call < 60; ++call)
    for (std::size_t count : {1u, 2u, 5u, 12u})
      for (std::uint64_t seed = 1; seed <= 25; ++seed) lost += loses({seed * 1000 + call, call, count, how});
  return lost;
}

/// A log on a disk in memory, with a state that holds every record.
struct RunningLog {
  explicit RunningLog(MemoryDisk& disk, string const& directory = folder)
      : log(
            io, directory, limits, [this] { return state; }, disk) {
    state = log.recovered().records;
  }
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(io);
  vector<string> state;
  std::size_t synced = 0;
  DurableLog log;

  void add() {
    state.push_back(nameOf(state.size()));
    log.append(state.back());
    log.whenSynced([this] { ++synced; });
  }
  void until(std::function<bool()> done) {
    while (!done()) io.run_one();
  }
};
}  // namespace

TEST_GROUP(durableLog){};

TEST(durableLog, noFailedCallLosesWhatWasAcknowledged) {
  LONGS_EQUAL(0, losses(WriterFault::no));
  CHECK_TEXT(losses(WriterFault::ignoresSyncErrors) > 0, "unlooked-at syncs were never caught");
  CHECK_TEXT(losses(WriterFault::retriesFailedSync) > 0, "a second sync after a failed one was never caught");
  CHECK_TEXT(losses(WriterFault::trustsUnsyncedRecords) > 0,
             "unsynced records relied on at the start were never caught");
}

TEST(durableLog, recordsComeBackInOrderAndSnapshotsBoundTheSpace) {
  MemoryDisk disk(1);
  std::size_t most = 0;
  for (int restart = 0; restart < 2; ++restart) {
    RunningLog run(disk);
    for (std::size_t i = 0; i < 100; ++i) {
      // The newest ten records are the state.
      if (run.state.size() > 9) run.state.erase(run.state.begin(), run.state.end() - 9);
      run.add();
      run.until([&] { return run.synced > i; });
      std::size_t bytes = 0;
      for (auto const& [name, content] : disk.all()) bytes += content.size();
      most = std::max(most, bytes);
    }
    vector<string> const found = readLog(disk, folder).records;
    CHECK(std::equal(run.state.rbegin(), run.state.rend(), found.rbegin()));
  }
  CHECK(most > limits.minLogSize());
  CHECK(most <= limits.budget);
}

TEST(durableLog, aNewDirectoryIsDurableOnceItsFirstRecordIsSynced) {
  MemoryDisk disk(1);
  disk.losesUnsyncedDirectories = true;
  string const nested = folder + "/registry";
  {
    RunningLog run(disk, nested);
    run.add();
    run.until([&] { return run.synced == 1; });
  }
  disk.losePower();
  LONGS_EQUAL(1, readLog(disk, nested).records.size());
}

TEST(durableLog, aFailingDiskIsRetriedUntilTheWholeStateIsWritten) {
  MemoryDisk disk(1);
  RunningLog run(disk);
  run.add();
  run.until([&] { return run.synced == 1; });
  std::map<string, string> const before = disk.all();
  disk.refuse(true);
  for (int i = 0; i < 5; ++i) run.add();
  run.until([&] { return !run.log.healthy(); });
  CHECK(run.log.state() == DiskState::failing);
  CHECK(run.log.lastError() == ENOSPC || run.log.lastError() == EIO);
  std::size_t const calls = disk.calls;
  run.until([&] { return disk.calls > calls + 20; });
  LONGS_EQUAL(1, run.synced);
  for (auto const& [name, content] : before) CHECK(disk.all().at(name).rfind(content, 0) == 0);
  disk.refuse(false);
  run.until([&] { return run.log.healthy(); });
  LONGS_EQUAL(6, run.synced);
  CHECK(readLog(disk, folder).records == run.state);
}

TEST(durableLog, aStalledDiskIsDetectedAndItsWaitersFail) {
  MemoryDisk disk(1);
  RunningLog run(disk);
  run.add();
  run.until([&] { return run.synced == 1; });
  disk.hang(true);
  run.add();
  bool refused = false;
  asio::co_spawn(run.io, run.log.waitSynced(), [&](std::exception_ptr x) {
    try {
      if (x) std::rethrow_exception(x);
    } catch (Error const& error) {
      refused = error.code() == ErrorCode::diskUnavailable;
    }
  });
  run.until([&] { return refused; });
  CHECK(run.log.state() == DiskState::stalled);
  LONGS_EQUAL(1, run.synced);
  disk.hang(false);
  run.until([&] { return run.synced == 2; });
  CHECK(run.log.healthy());
}

/// A folder with a snapshot of two records and a log of three batches.
static void fill(MemoryDisk& disk) {
  LogWriter writer(disk, folder, 0);
  writer.compact({"one", "two"});
  for (char const* const record : {"three", "four", "five"}) writer.append(encodeRecord(record));
}

TEST(durableLog, damageIsTornOnlyInWhatMayBeUnsynced) {
  struct Case {
    LogFileKind file;
    std::size_t fromEnd;
    std::size_t records, corrupt;
    bool torn;
  };
  // A batch of the log takes 12 bytes, 8 more for its record and the record's text.
  vector<Case> const cases = {
      {LogFileKind::log, 1, 4, 0, true},         // the last record
      {LogFileKind::log, 24, 4, 0, true},        // the head of the last batch
      {LogFileKind::log, 24 + 1, 4, 1, false},   // the record before
      {LogFileKind::log, 24 + 24, 4, 1, false},  // the head of that batch
      {LogFileKind::log, 24 + 6, 4, 1, false},   // its length
      {LogFileKind::snapshot, 1, 4, 1, false},   // a snapshot is never torn
      {LogFileKind::snapshot, 25, 3, 1, false},
  };
  for (Case const& c : cases) {
    MemoryDisk disk(1);
    fill(disk);
    string& bytes = disk.bytes(logFilePath(folder, c.file, 1));
    bytes[bytes.size() - c.fromEnd] ^= 0x55;
    RecoveredLog const found = readLog(disk, folder);
    LONGS_EQUAL(c.records, found.records.size());
    CHECK_EQUAL(c.corrupt > 0, !found.corruptions.empty());
    CHECK_EQUAL(c.torn, found.tornBytes > 0);
  }
}

TEST(durableLog, missingAndUnfinishedFilesAreDetected) {
  MemoryDisk disk(1);
  fill(disk);
  // A restart in the middle of a snapshot: its file has no name yet, and is torn.
  disk.place(folder + "/next", encodeFileHeader(LogFileKind::snapshot) + "TS");
  RecoveredLog const orphan = readLog(disk, folder);
  LONGS_EQUAL(5, orphan.records.size());
  CHECK(orphan.corruptions.empty());
  // A log without the snapshot it began with: what lay between is lost.
  disk.place(logFilePath(folder, LogFileKind::log, 3), disk.bytes(firstLog));
  LONGS_EQUAL(1, readLog(disk, folder).corruptions.size());
  // A log of which nothing was written yet is no loss.
  disk.place(logFilePath(folder, LogFileKind::log, 3), encodeFileHeader(LogFileKind::log));
  CHECK(readLog(disk, folder).corruptions.empty());
  RunningLog run(disk);
  run.add();
  run.until([&] { return run.synced == 1; });
  LONGS_EQUAL(2, disk.all().size());
  LONGS_EQUAL(6, readLog(disk, folder).records.size());
}

TEST(durableLog, theFormatOfTheLastReleaseIsReadAndReplaced) {
  MemoryDisk disk(1);
  disk.place(logFilePath(folder, LogFileKind::snapshot, 4), encodeAll({"one", "two"}));
  disk.place(logFilePath(folder, LogFileKind::log, 4), encodeAll({"three"}) + "torn");
  disk.place(logFilePath(folder, LogFileKind::log, 5), encodeAll({"four"}));
  RecoveredLog const found = readLog(disk, folder);
  LONGS_EQUAL(4, found.records.size());
  LONGS_EQUAL(4, found.tornBytes);
  CHECK(found.corruptions.empty());
  RunningLog run(disk);
  run.add();
  run.until([&] { return run.synced == 1; });
  LONGS_EQUAL(5, readLog(disk, folder).records.size());
  for (auto const& [name, content] : disk.all()) CHECK(content.rfind("TSLG", 0) == 0);
}

TEST(durableLog, anUnknownFormatIsRefusedAndNothingOverwritten) {
  for (std::uint32_t const version : {0u, 2u, 77u}) {
    MemoryDisk disk(1);
    fill(disk);
    string head = encodeFileHeader(LogFileKind::log).substr(0, 12);
    std::memcpy(&head[4], &version, 4);
    boost::crc_32_type crc;
    crc.process_bytes(head.data(), head.size());
    std::uint32_t const sum = crc.checksum();
    head.append(reinterpret_cast<char const*>(&sum), 4);
    disk.bytes(firstLog).replace(0, 16, head);
    std::map<string, string> const before = disk.all();
    ErrorCode code = ErrorCode::unreadable;
    try {
      RunningLog run(disk);
    } catch (Error const& x) {
      code = x.code();
    }
    CHECK(code == ErrorCode::unknownFormat);
    LONGS_EQUAL(4, exitStatusOf(Error(code)));
    CHECK(disk.all() == before);
  }
}

TEST(durableLog, nodeIdStaysUntilTheDirectoryIsEmpty) {
  for (std::size_t call = 0; call < 12; ++call) {
    MemoryDisk disk(call);
    disk.failFrom = call;
    disk.failCount = 1;
    NodeId first;
    while (!first.value) try {
        first = loadNodeId(folder, disk).id;
      } catch (Error const& x) {
        CHECK(x.code() == ErrorCode::diskFailed);
      }
    disk.failCount = 0;
    disk.losePower();
    LoadedNodeId const again = loadNodeId(folder, disk);
    CHECK(again.id == first);
    CHECK_FALSE(again.created);
    disk.remove(folder + "/identity");
    LoadedNodeId const other = loadNodeId(folder, disk);
    CHECK(other.id != first);
    CHECK(other.created);
  }
}
