#include "duties/platform_client.hpp"

#include "tests/wire/loopback.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr int platformTestPort = 17741;
constexpr std::uint64_t maxPlatformBody = 1u << 16;
Epoch const heldEpoch{1, NodeId(1)};

/// A platform on loopback that answers with a fixed status after an optional delay, and a holder that calls it.
struct PlatformRig {
  PlatformRig() {
    settings.nodeName = "edge-1";
    settings.provider.address = {loopbackOfThisProcess(), platformTestPort};
    settings.provider.dutiesPerSecond = 1000;
    settings.bounds.lease = Ms(400);
    client.emplace(io, settings, lease);
    server.emplace(
        io, settings.provider.address, [this](HttpCall call) { return answer(std::move(call)); }, maxPlatformBody,
        Ms(5000));
    server->start();
  }
  Task<HttpReply> answer(HttpCall call) {
    calls.push_back(std::move(call));
    if (pause > Ms(0)) co_await sleepFor(pause);
    co_return HttpReply{status, "{}", "application/json", {}};
  }
  void hold() {
    lease.noteClaimed(heldEpoch, 12, false, Clock::now());
    lease.noteConfirmed(heldEpoch, Clock::now());
  }
  /// Makes one call; with `keepsLease` the lease is confirmed continuously.
  PlatformAnswer call(bool keepsLease = false) {
    std::optional<PlatformAnswer> answer;
    PlatformCall order{"/usage", "{}"};
    asio::co_spawn(io, client->call(std::move(order)),
                   [&answer](std::exception_ptr, PlatformAnswer got) { answer = got; });
    TimePoint const limit = Clock::now() + Ms(8000);
    while (!answer && Clock::now() < limit) {
      io.restart();
      io.run_for(Ms(10));
      if (!keepsLease) continue;
      lease.noteConfirmed(heldEpoch, Clock::now());
      client->extendCallDeadlines();
    }
    CHECK(answer.has_value());
    return answer.value_or(PlatformAnswer::rejected);
  }
  asio::io_context io{1};
  Settings settings;
  DutyLease lease{Ms(400)};
  std::optional<PlatformClient> client;
  std::optional<HttpServer> server;
  vector<HttpCall> calls;
  int status = 200;
  Ms pause{0};
};
}  // namespace

TEST_GROUP(platformClient){};

TEST(platformClient, aCallCarriesHolderNameAndFencingToken) {
  PlatformRig rig;
  rig.hold();
  CHECK(rig.call() == PlatformAnswer::accepted);
  LONGS_EQUAL(1, rig.calls.size());
  STRCMP_EQUAL("POST", rig.calls[0].verb.c_str());
  STRCMP_EQUAL("/usage", rig.calls[0].path.c_str());
  STRCMP_EQUAL("edge-1", rig.calls[0].header("Duty-Owner").c_str());
  STRCMP_EQUAL("12", rig.calls[0].header("Fence-Number").c_str());
}
TEST(platformClient, statusCodesMapToAnswers) {
  struct Row {
    int status;
    PlatformAnswer answer;
  };
  for (Row const& row : {Row{409, PlatformAnswer::superseded}, Row{429, PlatformAnswer::busy},
                         Row{503, PlatformAnswer::busy}, Row{400, PlatformAnswer::rejected}}) {
    PlatformRig rig;
    rig.status = row.status;
    rig.hold();
    CHECK(rig.call() == row.answer);
  }
}
TEST(platformClient, nothingIsSentWithoutTheLease) {
  PlatformRig rig;
  CHECK(rig.call() == PlatformAnswer::notHolder);
  LONGS_EQUAL(0, rig.calls.size());
}
TEST(platformClient, aCallEndsWithTheLease) {
  PlatformRig rig;
  rig.pause = Ms(3000);
  rig.hold();
  TimePoint const begin = Clock::now();
  CHECK(rig.call() == PlatformAnswer::unanswered);
  CHECK(Clock::now() - begin < Ms(1000));
}
TEST(platformClient, aSlowAnswerIsAwaitedWhileTheLeaseIsRenewed) {
  PlatformRig rig;
  rig.pause = Ms(600);
  rig.hold();
  CHECK(rig.call(true) == PlatformAnswer::accepted);
}
