#include "base/durable_log.hpp"
#include "base/node_id.hpp"
#include "tests/base/memory_disk.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/crc.hpp>

using namespace tealshelf;
using sim::MemoryDisk;

namespace {
string const logDirectory = "/d";
string const firstLog = logFilePath(logDirectory, LogFileKind::log, 1);
DiskLimits const limits{4000, Ms(5), Ms(2)};

string encodeAll(vector<string> const& records) {
  string out;
  for (string const& record : records) out += encodeRecord(record);
  return out;
}
string recordText(std::size_t n) {
  return "record " + std::to_string(n) + string(n % 23, '.');
}

enum class WriterFault { no, ignoresSyncErrors, retriesFailedSync, trustsUnsyncedRecords };

/// Writes as LogWriter does, or with a fault that can lose records.
class TestedWriter {
 public:
  TestedWriter(MemoryDisk& disk, WriterFault fault, std::uint64_t last)
      : disk_(disk), fault_(fault), correctWriter_(disk, logDirectory, last) {
    number_ = last;
  }
  bool isOpen() const { return fault_ == WriterFault::no ? correctWriter_.isOpen() : file_ >= 0; }
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
    // The results of syncing the snapshot, the log and the directory are ignored.
    ++number_;
    int const next = disk_.open(logDirectory + "/next", FileSystem::OpenMode::truncate);
    if (next < 0) return EIO;
    int error = writeAll(disk_, next, encodeFileHeader(LogFileKind::snapshot) + encodeBatch(encodeAll(records)));
    disk_.sync(next);
    if (!error && disk_.rename(logDirectory + "/next", logFilePath(logDirectory, LogFileKind::snapshot, number_)))
      error = EIO;
    if (error) return error;
    if (openLog() < 0) return EIO;
    disk_.sync(file_);
    syncDirectory(disk_, logDirectory);
    for (LogFile const& file : listLogFiles(disk_, logDirectory))
      if (file.number < number_) disk_.remove(logFilePath(logDirectory, file.kind, file.number));
    return 0;
  }

 private:
  int openLog() {
    file_ = disk_.open(logFilePath(logDirectory, LogFileKind::log, number_), FileSystem::OpenMode::append);
    return file_ < 0 || writeAll(disk_, file_, encodeFileHeader(LogFileKind::log)) ? -1 : file_;
  }
  int compactCorrectly(vector<string> const& records) {
    ++number_;
    int const error = correctWriter_.compact(records);
    if (!error && fault_ != WriterFault::no)
      file_ = disk_.open(logFilePath(logDirectory, LogFileKind::log, number_), FileSystem::OpenMode::append);
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
  WriterFault fault;
};
/// Runs a sequence of writes, restarts and power losses; true if an acknowledged record was lost, or undamaged data was
/// reported as corrupt.
bool loses(Trial const& trial) {
  MemoryDisk disk(trial.seed);
  disk.failFrom = trial.failFrom;
  disk.failCount = trial.failCount;
  vector<string> state;
  std::set<string> acknowledged;
  std::size_t createdCount = 0;
  for (int restart = 0; restart < 4; ++restart) {
    RecoveredLog const found = readLog(disk, logDirectory);
    std::set<string> const recovered(found.records.begin(), found.records.end());
    bool const holdsAcknowledged =
        std::includes(recovered.begin(), recovered.end(), acknowledged.begin(), acknowledged.end());
    if (!holdsAcknowledged || !found.corruptions.empty()) return true;
    state.assign(recovered.begin(), recovered.end());
    TestedWriter writer(disk, trial.fault, found.lastNumber);
    // The recovered records are relied on at once, as by an owner that replies from them.
    if (trial.fault == WriterFault::trustsUnsyncedRecords) acknowledged = recovered;
    for (std::size_t step = disk.dice(9); step > 0; --step) {
      state.push_back(recordText(createdCount++));
      bool const compacts = !writer.isOpen() || disk.dice(4) == 0;
      int const error = compacts ? writer.compact(state) : writer.append(encodeRecord(state.back()));
      if (!error) acknowledged.insert(state.begin(), state.end());
    }
    if (disk.dice(2)) disk.losePower();
  }
  return false;
}
/// Fails each call in turn, once or for several calls; returns the number of trials that lost records.
std::size_t losses(WriterFault fault) {
  std::size_t lost = 0;
  for (std::size_t call = 0; call < 60; ++call)
    for (std::size_t count : {1u, 2u, 5u, 12u})
      for (std::uint64_t seed = 1; seed <= 25; ++seed) lost += loses({seed * 1000 + call, call, count, fault});
  return lost;
}

/// A log on a MemoryDisk whose state contains every record.
struct RunningLog {
  explicit RunningLog(MemoryDisk& disk, string const& directory = logDirectory)
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
    state.push_back(recordText(state.size()));
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
  CHECK_TEXT(losses(WriterFault::ignoresSyncErrors) > 0, "no trial caught ignored sync errors");
  CHECK_TEXT(losses(WriterFault::retriesFailedSync) > 0, "no trial caught a retried sync after a failed one");
  CHECK_TEXT(losses(WriterFault::trustsUnsyncedRecords) > 0,
             "no trial caught reliance on unsynced records at the start");
}

TEST(durableLog, recordsAreRecoveredInOrderAndSnapshotsBoundTheSpace) {
  MemoryDisk disk(1);
  std::size_t maxBytes = 0;
  for (int restart = 0; restart < 2; ++restart) {
    RunningLog run(disk);
    for (std::size_t i = 0; i < 100; ++i) {
      // The state is the newest ten records.
      if (run.state.size() > 9) run.state.erase(run.state.begin(), run.state.end() - 9);
      run.add();
      run.until([&] { return run.synced > i; });
      std::size_t bytes = 0;
      for (auto const& [name, content] : disk.all()) bytes += content.size();
      maxBytes = std::max(maxBytes, bytes);
    }
    vector<string> const found = readLog(disk, logDirectory).records;
    CHECK(std::equal(run.state.rbegin(), run.state.rend(), found.rbegin()));
  }
  CHECK(maxBytes > limits.minLogSize());
  CHECK(maxBytes <= limits.budget);
}

TEST(durableLog, aNewDirectoryIsDurableOnceItsFirstRecordIsSynced) {
  MemoryDisk disk(1);
  disk.losesUnsyncedDirectories = true;
  string const nested = logDirectory + "/registry";
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
  CHECK(readLog(disk, logDirectory).records == run.state);
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

/// Writes a directory with a snapshot of two records and a log of three batches.
static void fill(MemoryDisk& disk) {
  LogWriter writer(disk, logDirectory, 0);
  writer.compact({"one", "two"});
  for (char const* const record : {"three", "four", "five"}) writer.append(encodeRecord(record));
}

TEST(durableLog, damageIsTornOnlyWhereRecordsMayBeUnsynced) {
  struct Case {
    LogFileKind file;
    std::size_t fromEnd;
    std::size_t records, corrupt;
    bool torn;
  };
  // A batch takes 12 bytes for its header, 8 for the record header, and the record's text.
  vector<Case> const cases = {
      {LogFileKind::log, 1, 4, 0, true},         // the last record
      {LogFileKind::log, 24, 4, 0, true},        // the header of the last batch
      {LogFileKind::log, 24 + 1, 4, 1, false},   // the record before it
      {LogFileKind::log, 24 + 24, 4, 1, false},  // the header of that batch
      {LogFileKind::log, 24 + 6, 4, 1, false},   // its length
      {LogFileKind::snapshot, 1, 4, 1, false},   // a snapshot is never torn
      {LogFileKind::snapshot, 25, 3, 1, false},
  };
  for (Case const& c : cases) {
    MemoryDisk disk(1);
    fill(disk);
    string& bytes = disk.bytes(logFilePath(logDirectory, c.file, 1));
    bytes[bytes.size() - c.fromEnd] ^= 0x55;
    RecoveredLog const found = readLog(disk, logDirectory);
    LONGS_EQUAL(c.records, found.records.size());
    CHECK_EQUAL(c.corrupt > 0, !found.corruptions.empty());
    CHECK_EQUAL(c.torn, found.tornBytes > 0);
  }
}

TEST(durableLog, missingAndUnfinishedFilesAreDetected) {
  MemoryDisk disk(1);
  fill(disk);
  // A restart while a snapshot was written: the temporary file is torn.
  disk.place(logDirectory + "/next", encodeFileHeader(LogFileKind::snapshot) + "TS");
  RecoveredLog const orphan = readLog(disk, logDirectory);
  LONGS_EQUAL(5, orphan.records.size());
  CHECK(orphan.corruptions.empty());
  // A log without its snapshot: the records in between are lost.
  disk.place(logFilePath(logDirectory, LogFileKind::log, 3), disk.bytes(firstLog));
  LONGS_EQUAL(1, readLog(disk, logDirectory).corruptions.size());
  // An empty log without its snapshot loses nothing.
  disk.place(logFilePath(logDirectory, LogFileKind::log, 3), encodeFileHeader(LogFileKind::log));
  CHECK(readLog(disk, logDirectory).corruptions.empty());
  RunningLog run(disk);
  run.add();
  run.until([&] { return run.synced == 1; });
  LONGS_EQUAL(2, disk.all().size());
  LONGS_EQUAL(6, readLog(disk, logDirectory).records.size());
}

TEST(durableLog, theFormatOfTheLastReleaseIsReadAndReplaced) {
  MemoryDisk disk(1);
  disk.place(logFilePath(logDirectory, LogFileKind::snapshot, 4), encodeAll({"one", "two"}));
  disk.place(logFilePath(logDirectory, LogFileKind::log, 4), encodeAll({"three"}) + "torn");
  disk.place(logFilePath(logDirectory, LogFileKind::log, 5), encodeAll({"four"}));
  RecoveredLog const found = readLog(disk, logDirectory);
  LONGS_EQUAL(4, found.records.size());
  LONGS_EQUAL(4, found.tornBytes);
  CHECK(found.corruptions.empty());
  RunningLog run(disk);
  run.add();
  run.until([&] { return run.synced == 1; });
  LONGS_EQUAL(5, readLog(disk, logDirectory).records.size());
  for (auto const& [name, content] : disk.all()) CHECK(content.rfind("TSLG", 0) == 0);
}

TEST(durableLog, anUnknownFormatIsRefusedAndNothingOverwritten) {
  for (std::uint32_t const version : {0u, 2u, 77u}) {
    MemoryDisk disk(1);
    fill(disk);
    string header = encodeFileHeader(LogFileKind::log).substr(0, 12);
    std::memcpy(&header[4], &version, 4);
    boost::crc_32_type crc;
    crc.process_bytes(header.data(), header.size());
    std::uint32_t const checksum = crc.checksum();
    header.append(reinterpret_cast<char const*>(&checksum), 4);
    disk.bytes(firstLog).replace(0, 16, header);
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
        first = loadNodeId(logDirectory, disk).id;
      } catch (Error const& x) {
        CHECK(x.code() == ErrorCode::diskFailed);
      }
    disk.failCount = 0;
    disk.losePower();
    LoadedNodeId const again = loadNodeId(logDirectory, disk);
    CHECK(again.id == first);
    CHECK_FALSE(again.created);
    disk.remove(logDirectory + "/identity");
    LoadedNodeId const other = loadNodeId(logDirectory, disk);
    CHECK(other.id != first);
    CHECK(other.created);
  }
}
