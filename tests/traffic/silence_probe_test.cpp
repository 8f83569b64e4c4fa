#include "traffic/silence_probe.hpp"
#include "tests/traffic/worker_stand_in.hpp"
#include "traffic/connection_probe.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr int listenPort = 17691, closedPort = 17692;
constexpr SilenceProbe::Timing timing{Ms(40), Ms(60)};

/// A listener whose kernel accepts connections until its backlog is full.
struct TestListener {
  asio::io_context io{1};
  tcp::acceptor acceptor{io};
  vector<std::unique_ptr<tcp::socket>> fillers;
  TestListener() {
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpointOf(address()));
    acceptor.listen(0);
  }
  static Address address() { return {loopbackOfThisProcess(), listenPort}; }
  /// Fills the backlog: from now on connection attempts get no response, as from an unreachable machine.
  void fill() {
    for (int i = 0; i < 4; ++i) {
      fillers.push_back(std::make_unique<tcp::socket>(io));
      fillers.back()->async_connect(endpointOf(address()), [](error_code) {});
    }
    run(Ms(20));
  }
  void run(Ms duration) {
    io.restart();
    io.run_for(duration);
  }
  bool responds(Address const& to) {
    std::optional<bool> taken;
    asio::co_spawn(io, respondsToConnect(io, to, Ms(60)), [&](std::exception_ptr, bool result) { taken = result; });
    run(Ms(120));
    return taken.value_or(false);
  }
};
}  // namespace

TEST_GROUP(silenceProbe){};

TEST(silenceProbe, acceptedAndRefusedConnectionsCountAsReachable) {
  TestListener listener;
  CHECK(listener.responds(TestListener::address()));
  CHECK(listener.responds({loopbackOfThisProcess(), closedPort}));
  listener.fill();
  CHECK(!listener.responds(TestListener::address()));
}
TEST(silenceProbe, aSlowWorkerIsProbedWithGrowingPauses) {
  TestListener listener;
  int reached = 0, unreached = 0;
  SilenceProbe probe(listener.io, {loopbackOfThisProcess(), closedPort}, timing,
                     [&](bool reachable) { ++(reachable ? reached : unreached); });
  listener.run(Ms(400));
  CHECK(reached >= 2 && reached <= 4);
  LONGS_EQUAL(0, unreached);
}
TEST(silenceProbe, anUnreachableWorkerIsReportedOnce) {
  TestListener listener;
  listener.fill();
  int reached = 0, unreached = 0;
  SilenceProbe probe(listener.io, TestListener::address(), timing,
                     [&](bool reachable) { ++(reachable ? reached : unreached); });
  listener.run(Ms(500));
  LONGS_EQUAL(0, reached);
  LONGS_EQUAL(1, unreached);
}
TEST(silenceProbe, noProbeWhileTheExchangeMakesProgress) {
  TestListener listener;
  int probes = 0;
  SilenceProbe probe(listener.io, {loopbackOfThisProcess(), closedPort}, {Ms(200), Ms(60)}, [&](bool) { ++probes; });
  for (int i = 0; i < 20; ++i) {
    listener.run(Ms(20));
    probe.noteProgress();
  }
  LONGS_EQUAL(0, probes);
}
TEST(silenceProbe, destructionStopsProbing) {
  TestListener listener;
  int probes = 0;
  {
    SilenceProbe probe(listener.io, {loopbackOfThisProcess(), closedPort}, timing, [&](bool) { ++probes; });
  }
  listener.run(Ms(200));
  LONGS_EQUAL(0, probes);
}

TEST_GROUP(workersOutOfReach){};

/// Without probes, a request on a connection opened before the partition would wait until its deadline.
TEST(workersOutOfReach, aRepeatableRequestIsRetriedElsewhere) {
  Script const answersWell{"", true, answerText(200, "$ID", "Server-Seal: s\r\n", "own $ID"), Script::End::keep, ""};
  EdgeRig rig(answersWell);
  CHECK(rig.prime());
  rig.workers[0].hangs = true;
  vector<std::unique_ptr<tcp::socket>> fillers;
  for (int i = 0; i < 24; ++i) {
    fillers.push_back(std::make_unique<tcp::socket>(rig.io));
    fillers.back()->async_connect(endpointOf({rig.ip, 17685}), [](error_code) {});
  }
  rig.run(Ms(50));
  for (int number = 0; number < 12; ++number) {
    TimePoint const sentAt = Clock::now();
    LONGS_EQUAL(200, rig.call("/again/x", "id1").status);
    CHECK(Clock::now() - sentAt < Ms(1000));
  }
  LONGS_EQUAL(12, rig.workers[1].sends);
}
