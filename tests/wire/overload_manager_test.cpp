// Who gives way when peers reach the limits of a process.
#include "wire/overload_manager.hpp"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace tealshelf;

namespace {
constexpr std::size_t kilobyte = 1024, managedBytes = 1024 * kilobyte;

/// A manager of its own, with eight connections and a managedBytes for clients.
struct ManagedPeers {
  ManagedPeers() {
    PeerLimits limits;
    limits.byKind[0] = PeerLimit{8, 2, managedBytes};
    limits.byKind[1] = PeerLimit{2, 1, managedBytes};
    manager.setLimits(limits);
  }
  PeerHold& client() {
    holds.push_back(manager.admit(PeerKind::client));
    return *holds.back();
  }
  /// Lets time pass, so that one has held for longer than the next.
  static void pause() { std::this_thread::sleep_for(Ms(3)); }
  PeerHold& reading(std::size_t bytes) {
    PeerHold& hold = client();
    hold.enter(PeerPhase::reading);
    CHECK(hold.hold(HeldPart::request, bytes));
    pause();
    return hold;
  }
  OverloadManager manager;
  vector<std::unique_ptr<PeerHold>> holds;
};
}  // namespace

TEST_GROUP(overloadManager){};

TEST(overloadManager, theLimitsStayBelowThoseOfTheMachine) {
  for (std::int64_t const memoryMb : {32, 64, 160, 260, 4096})
    for (std::int64_t const openFiles : {512, 600, 1024, 4100, 65536}) {
      Settings settings;
      settings.memoryMb = memoryMb;
      settings.openFiles = openFiles;
      PeerLimits const limits = PeerLimits::from(settings);
      std::size_t descriptors = limits.workerConnections, bytes = 0;
      for (PeerLimit const& limit : limits.byKind) {
        CHECK(limit.connections > 0);
        CHECK(limit.refusals > 0);
        descriptors += limit.connections + limit.refusals;
        bytes += limit.bytes;
      }
      CHECK(descriptors < static_cast<std::size_t>(openFiles - 200));
      CHECK(bytes < static_cast<std::size_t>(memoryMb) * managedBytes * 4 / 5);
    }
}
TEST(overloadManager, aCrowdOfOneKindTakesNothingFromAnother) {
  ManagedPeers peers;
  for (int count = 0; count < 8; ++count) CHECK(peers.client().enter(PeerPhase::working) == (count < 6));
  std::unique_ptr<PeerHold> const probe = peers.manager.admit(PeerKind::probe);
  CHECK(probe && !probe->mustLeave());
}
TEST(overloadManager, theLongestSilentConnectionGivesWayToANewOne) {
  ManagedPeers peers;
  bool closed = false;
  for (int count = 0; count < 8; ++count) peers.client();
  peers.holds[0]->enter(PeerPhase::reading);
  peers.holds[1]->enter(PeerPhase::idle);
  ManagedPeers::pause();
  peers.holds[2]->onGiveWay = [&] { closed = true; };
  CHECK(!peers.client().mustLeave());
  CHECK(closed);
  CHECK(peers.holds[2]->mustLeave());
  LONGS_EQUAL(9, peers.manager.connections(PeerKind::client));
}
TEST(overloadManager, requestsUnderWayKeepTheirConnections) {
  ManagedPeers peers;
  for (int count = 0; count < 6; ++count) CHECK(peers.client().enter(PeerPhase::working));
  CHECK_TEXT(!peers.client().enter(PeerPhase::working), "a quarter of the connections is left to others");
  for (int count = 0; count < 20; ++count) {
    peers.client();
    if (!peers.holds.back()) peers.holds.pop_back();
  }
  for (std::size_t index = 0; index < 6; ++index) CHECK(!peers.holds[index]->mustLeave());
}
TEST(overloadManager, refusalsHaveALimitToo) {
  ManagedPeers peers;
  PeerLimits limits = peers.manager.limits();
  limits.byKind[0].connections = 0;
  peers.manager.setLimits(limits);
  bool closed = false;
  CHECK(peers.client().mustLeave());
  peers.holds[0]->onGiveWay = [&] { closed = true; };
  CHECK(peers.client().mustLeave());
  CHECK(!closed);
  CHECK_TEXT(peers.client().mustLeave(), "the first refusal is over");
  CHECK(closed);
  CHECK_TEXT(!peers.manager.admit(PeerKind::client), "no refusal can be ended");
}
TEST(overloadManager, whoHeldMostForLongestGivesWay) {
  ManagedPeers peers;
  PeerHold const& large = peers.reading(400 * kilobyte);
  PeerHold const& small = peers.reading(kilobyte);
  PeerHold const& other = peers.reading(300 * kilobyte);
  PeerHold& newest = peers.reading(kilobyte);
  CHECK(newest.hold(HeldPart::request, 200 * kilobyte));
  CHECK(large.mustLeave());
  CHECK(!small.mustLeave());
  CHECK(!other.mustLeave());
  LONGS_EQUAL(501 * kilobyte, peers.manager.bytes(PeerKind::client));
}
TEST(overloadManager, whoAsksIsRefusedIfItHoldsMost) {
  ManagedPeers peers;
  PeerHold& large = peers.reading(600 * kilobyte);
  PeerHold const& small = peers.reading(kilobyte);
  CHECK(!large.hold(HeldPart::request, 2 * managedBytes));
  CHECK(!small.mustLeave());
}
TEST(overloadManager, largeRequestsLeaveRoomForSmallOnes) {
  ManagedPeers peers;
  for (int count = 0; count < 3; ++count) {
    PeerHold& hold = peers.client();
    CHECK(hold.enter(PeerPhase::working));
    CHECK(hold.hold(HeldPart::request, 256 * kilobyte));
  }
  PeerHold& large = peers.client();
  CHECK(!large.hold(HeldPart::request, 200 * kilobyte));
  PeerHold& small = peers.client();
  CHECK(small.enter(PeerPhase::working));
  CHECK(small.hold(HeldPart::request, 100 * kilobyte));
}
TEST(overloadManager, aSmallAnswerAlwaysFindsRoom) {
  ManagedPeers peers;
  for (int count = 0; count < 6; ++count) CHECK(peers.client().enter(PeerPhase::working));
  PeerHold& small = *peers.holds.front();
  PeerLimits limits = peers.manager.limits();
  limits.byKind[0].bytes = 600 * kilobyte;
  peers.manager.setLimits(limits);
  for (std::unique_ptr<PeerHold> const& hold : peers.holds) CHECK(hold->hold(HeldPart::request, 100 * kilobyte));
  for (std::unique_ptr<PeerHold> const& hold : peers.holds) CHECK(hold->hold(HeldPart::answer, 4 * kilobyte));
  CHECK_TEXT(!small.hold(HeldPart::answer, 100 * kilobyte), "a large one finds none");
}
TEST(overloadManager, aRequestAloneFindsRoomWhateverItTakes) {
  ManagedPeers peers;
  PeerHold& small = peers.client();
  CHECK(small.enter(PeerPhase::working));
  CHECK(small.hold(HeldPart::request, 64 * kilobyte));
  PeerHold& large = peers.client();
  CHECK(large.enter(PeerPhase::working));
  CHECK(large.holdForWork(3 * managedBytes));
  PeerHold& another = peers.client();
  CHECK(another.enter(PeerPhase::working));
  CHECK_TEXT(!another.holdForWork(3 * managedBytes), "a second one finds none");
  CHECK_TEXT(another.hold(HeldPart::request, 64 * kilobyte), "a small one does");
}
TEST(overloadManager, nothingIsHeldOnceAConnectionIsGone) {
  ManagedPeers peers;
  peers.reading(400 * kilobyte);
  peers.client().enter(PeerPhase::working);
  peers.holds.clear();
  LONGS_EQUAL(0, peers.manager.bytes(PeerKind::client));
  LONGS_EQUAL(0, peers.manager.connections(PeerKind::client));
  for (int count = 0; count < 6; ++count) CHECK(peers.client().enter(PeerPhase::working));
}
