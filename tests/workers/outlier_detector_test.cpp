#include "workers/outlier_detector.hpp"
#include "traffic/exchange.hpp"
#include "workers/worker_registry.hpp"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace tealshelf;

TEST_GROUP(outlierDetector) {
  TimePoint now = TimePoint() + std::chrono::hours(1);
  std::mt19937_64 random{3};
  static vector<Worker> fleet(int n) {
    vector<Worker> workers;
    for (int i = 0; i < n; ++i) {
      Worker w;
      w.id = "i-" + std::to_string(i);
      w.service = "s";
      w.registrar = NodeId(static_cast<std::uint64_t>(i % 2 + 1));
      workers.push_back(w);
    }
    return workers;
  }
  /// A step of 200 ms in which each worker gets some requests, split over the nodes of two control nodes.
  void tick(vector<Worker> & all, OutlierDetector & a, OutlierDetector & b, std::function<double(int)> fails,
            vector<string> & ejectedIds, double perTick = 2) {
    vector<WorkerTally> reportedToA, reportedToB;
    for (int i = 0; i < static_cast<int>(all.size()); ++i) {
      int const n = std::poisson_distribution<int>(perTick)(random);
      for (int k = 0; k < n; ++k) {
        bool const bad = std::uniform_real_distribution<>(0, 1)(random) < fails(i);
        (k % 2 ? reportedToA : reportedToB)
            .push_back({all[static_cast<std::size_t>(i)].id, bad ? 0.0 : 1.0, bad ? 1.0 : 0.0});
      }
    }
    a.record(reportedToA, now);
    b.record(reportedToB, now);
    a.receiveReport(NodeId(2), b.report(now), now);
    b.receiveReport(NodeId(1), a.report(now), now);
    for (std::uint64_t n : {1, 2})
      for (OutlierDetector::EjectionChange const& change : (n == 1 ? a : b).evaluate(all, NodeId(n), now))
        for (Worker& w : all)
          if (w.id == change.worker) {
            w.ejected = change.ejected;
            if (change.ejected) ejectedIds.push_back(w.id);
          }
    now += Ms(200);
  }
};

TEST(outlierDetector, failingWorkersAreEjectedWithinTwoSeconds) {
  vector<Worker> all = fleet(60);
  OutlierDetector a(Ms(1000), {}), b(Ms(1000), {});
  vector<string> ejectedIds;
  for (int k = 0; k < 25; ++k)
    tick(
        all, a, b, [](int) { return 0.01; }, ejectedIds);
  CHECK_TEXT(ejectedIds.empty(), "the usual failure rate ejects nobody");
  for (int k = 0; k < 10; ++k)
    tick(
        all, a, b, [](int i) { return i < 8 ? 0.45 : 0.01; }, ejectedIds);
  std::set<string> const out(ejectedIds.begin(), ejectedIds.end());
  CHECK(out.size() >= 7);
  for (int i = 8; i < 60; ++i) CHECK(!out.count("i-" + std::to_string(i)));
}
TEST(outlierDetector, noWorkerIsEjectedWhenAllFail) {
  vector<Worker> all = fleet(30);
  OutlierDetector a(Ms(1000), {}), b(Ms(1000), {});
  vector<string> ejectedIds;
  for (int k = 0; k < 30; ++k)
    tick(
        all, a, b, [](int) { return 0.3; }, ejectedIds);
  CHECK(ejectedIds.size() <= 1);
}
TEST(outlierDetector, atMostAThirdOfTheWorkersIsEjected) {
  vector<Worker> all = fleet(12);
  OutlierDetector a(Ms(1000), {}), b(Ms(1000), {});
  vector<string> ejectedIds;
  std::size_t most = 0;
  for (int k = 0; k < 60; ++k) {
    tick(
        all, a, b, [](int i) { return i < 6 ? 0.9 : 0.0; }, ejectedIds);
    std::size_t n = 0;
    for (Worker const& w : all) n += w.ejected;
    most = std::max(most, n);
  }
  LONGS_EQUAL(4, most);
}
TEST(outlierDetector, aRecoveredWorkerReturnsAndAFlappingOneIsEjectedLonger) {
  vector<Worker> all = fleet(20);
  OutlierDetector a(Ms(1000), {}), b(Ms(1000), {});
  vector<string> ejectedIds;
  int ejectedTicks = 0, ticks = 0;
  for (int k = 0; k < 15; ++k)
    tick(
        all, a, b, [](int i) { return i == 3 ? 0.6 : 0.0; }, ejectedIds);
  CHECK(all[3].ejected);
  for (int k = 0; k < 30; ++k)
    tick(
        all, a, b, [](int) { return 0.0; }, ejectedIds);
  CHECK_FALSE(all[3].ejected);
  for (int k = 0; k < 150; ++k) {
    tick(
        all, a, b, [](int i) { return i == 3 ? 0.8 : 0.0; }, ejectedIds);
    ejectedTicks += all[3].ejected;
    ++ticks;
  }
  CHECK_TEXT(ejectedTicks > ticks * 3 / 4, "a worker that fails again and again is ejected most of the time");
}
TEST(outlierDetector, fewRequestsAndInvalidCountsEjectNobody) {
  vector<Worker> all = fleet(4);
  OutlierDetector a(Ms(1000), {});
  a.record({{"i-0", 0, 3}, {"i-2", -1, 50}, {"i-2", 0, 1e9}, {"i-2", std::nan(""), 9}}, now);
  for (Worker& w : all) w.registrar = NodeId(1);
  CHECK(a.evaluate(all, NodeId(1), now).empty());
}
TEST(outlierDetector, ejectionsAreDecidedByTheRegistrarAndSurviveHeartbeats) {
  WorkerRegistry a{Ms(3600), NodeId(1)}, b{Ms(3600), NodeId(2)};
  Worker w = fleet(1)[0];
  w.heartbeatSequence = 1;
  a.merge(w, now);
  for (Worker const& x : a.takeTransitions()) b.merge(x, now);
  a.setEjected("i-0", true);
  for (Worker const& x : a.takeTransitions()) CHECK(b.merge(x, now));
  CHECK(b.find("i-0")->ejected);
  w.heartbeatSequence = 2;
  a.merge(w, now);
  CHECK(a.find("i-0")->ejected);
  a.setEjected("i-0", false);
  for (Worker const& x : a.takeTransitions()) b.merge(x, now);
  CHECK_FALSE(b.find("i-0")->ejected);
}
TEST(outlierDetector, safeIdleTimeAdaptsToResets) {
  SafeIdleTime safeIdleTime(Ms(16000), Ms(25));
  LONGS_EQUAL(16000, safeIdleTime.value().count());
  safeIdleTime.noteReset(Ms(1500));
  LONGS_EQUAL(750, safeIdleTime.value().count());
  safeIdleTime.noteReset(Ms(4000));
  LONGS_EQUAL_TEXT(750, safeIdleTime.value().count(), "a reset after a longer idle time doesn't change the limit");
  safeIdleTime.noteReset(Ms(10));
  LONGS_EQUAL(25, safeIdleTime.value().count());
  for (int k = 0; k < 200; ++k) safeIdleTime.noteReused(Ms(3000));
  CHECK(safeIdleTime.value() > Ms(2900));
}
