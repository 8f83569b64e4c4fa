#include "base/disk.hpp"

#include <CppUTest/TestHarness.h>
#include <unistd.h>
#include <cstdlib>
#include <fstream>

using namespace tealshelf;

TEST_GROUP(disk) {
  string dir;
  void setup() override {
    char t[] = "/tmp/tealshelf-test-XXXXXX";
    dir = mkdtemp(t);
  }
  void teardown() override {
    (void)!std::system(("rm -rf " + dir).c_str());
  }
  static void fill(string const& d, int n, std::size_t turn) {
    asio::io_context io(1);
    asio::executor_work_guard<asio::io_context::executor_type> const work = asio::make_work_guard(io);
    vector<string> all;
    DiskLog l(io, d, turn, [&] { return all; });
    for (string const& r : l.found().records) all.push_back(r);
    for (int i = 0; i < n; ++i) {
      all.push_back("record " + std::to_string(all.size()));
      l.append(all.back());
      bool done = false;
      l.synced([&] { done = true; });
      while (!done) io.run_one();
    }
  }
  string newest() const {
    string best;
    FILE* const p = popen(("ls -S " + dir + "/l").c_str(), "r");
    char b[128];
    if (fgets(b, sizeof b, p)) best = string(b);
    pclose(p);
    while (!best.empty() && best.back() == '\n') best.pop_back();
    return dir + "/l/" + best;
  }
};

TEST(disk, recordsComeBackInOrder) {
  fill(dir + "/l", 20, 1u << 20);
  fill(dir + "/l", 5, 1u << 20);
  Found const f = readLogs(dir + "/l");
  LONGS_EQUAL(25, f.records.size());
  STRCMP_EQUAL("record 24", f.records[24].c_str());
  LONGS_EQUAL(0, f.torn);
}
TEST(disk, snapshotsReplaceOldSegments) {
  fill(dir + "/l", 200, 600);
  Found const f = readLogs(dir + "/l");
  CHECK(f.records.size() >= 200);
  STRCMP_EQUAL("record 0", f.records[0].c_str());
  STRCMP_EQUAL("record 199", f.records.back().c_str());
}
TEST(disk, aTornTailIsCutAndABrokenMiddleReported) {
  fill(dir + "/l", 10, 1u << 20);
  string const p = newest();
  CHECK(truncate(p.c_str(), 8 * 10 + 8 * 10 - 3 - 16) == 0);
  Found const torn = readLogs(dir + "/l");
  CHECK(torn.torn > 0);
  CHECK(torn.corrupt.empty());
  CHECK(torn.records.size() < 10);
  {
    std::fstream f(p, std::ios::in | std::ios::out | std::ios::binary);
    f.seekp(8 + 2);
    f.put('X');
  }
  Found const mid = readLogs(dir + "/l");
  LONGS_EQUAL(1, mid.corrupt.size());
  CHECK(mid.records.size() == torn.records.size() - 1);
}
TEST(disk, identityStaysUntilTheFolderIsEmpty) {
  bool fresh = false;
  Identity const a = identityOf(dir, fresh);
  CHECK(fresh);
  CHECK(identityOf(dir, fresh) == a);
  CHECK_FALSE(fresh);
  unlink((dir + "/identity").c_str());
  CHECK(identityOf(dir, fresh) != a);
  CHECK(fresh);
}
