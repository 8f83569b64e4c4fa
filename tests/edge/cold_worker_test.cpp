#include "tests/edge/kept_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
Script const answersWell{"", true, answerText(200, "$ID", "Server-Seal: s\r\n", "own $ID"), Script::End::keep, ""};
Script const answersBusy{"", true, answerText(200, "$ID", "Server-Seal: s\r\nServer-Load: 7,0,8\r\n", "own $ID"),
                         Script::End::keep, ""};
constexpr Ms warmUpLeft{3000};

/// An edge with two workers that answer well.
struct ColdRig : EdgeRig {
  explicit ColdRig(Script const& script = answersWell) : EdgeRig(script) { CHECK(prime()); }
  /// Sends `requests` requests one after the other and returns how many were answered with `status`.
  int answered(int status, int requests) {
    int count = 0;
    for (int number = 0; number < requests; ++number) count += call("/once/x", "id1").status == status;
    return count;
  }
  std::size_t probes() const { return workers[0].probes + workers[1].probes; }
};

/// How long a worker is avoided after failures in a row: markFailed(). A slow run has more of them before it is over.
Ms backoffAfter(std::size_t failures) {
  return (Settings().bounds.inTouch / 12) * (1 << std::min<std::size_t>(failures, 5));
}
}  // namespace

/// A worker that is warming up can handle few requests a second, from all nodes together.
TEST_GROUP(coldWorkers){};

/// Incident FAILBACK: a cold worker looks idle, so every node preferred it.
TEST(coldWorkers, getNoRequestsWithoutACredit) {
  EdgeRig rig(answersWell);
  CHECK(rig.prime());
  rig.publishHeartbeat(1, Ms(3000));
  rig.creditVerdict = CreditVerdict::exhausted;
  for (int number = 0; number < 40; ++number) LONGS_EQUAL(200, rig.call("/once/x", "id1").status);
  LONGS_EQUAL(40, rig.workers[0].sends);
  LONGS_EQUAL(0, rig.workers[1].sends);
}
TEST(coldWorkers, getRequestsOnceTheyReportThatTheyAreWarm) {
  ColdRig rig;
  rig.publishHeartbeat(1, warmUpLeft);
  rig.publishHeartbeat(1, Ms(0));
  LONGS_EQUAL(200, rig.call("/once/x", "id1").status);
  LONGS_EQUAL(40, rig.answered(200, 40));
  CHECK(rig.workers[1].sends > 5);
  LONGS_EQUAL(0, rig.creditsAsked);
}
TEST(coldWorkers, serveRequestsWithCreditsIfNoneIsWarm) {
  ColdRig rig;
  rig.publishHeartbeat(0, warmUpLeft);
  rig.publishHeartbeat(1, warmUpLeft);
  LONGS_EQUAL(20, rig.answered(200, 20));
  LONGS_EQUAL(20, rig.sends());
  LONGS_EQUAL(20, rig.creditsAsked);
}
TEST(coldWorkers, serveRequestsWithCreditsIfWarmOnesAreBusy) {
  ColdRig rig(answersBusy);
  rig.publishHeartbeat(1, warmUpLeft);
  LONGS_EQUAL(20, rig.answered(200, 20));
  CHECK(rig.workers[1].sends > 5);
  LONGS_EQUAL(rig.creditsAsked, rig.workers[1].sends);
}
/// Reported loads of other workers also count for those that this node hasn't used yet.
TEST(coldWorkers, serveRequestsWithCreditsIfTheServiceIsBusy) {
  Settings settings;
  LoadBalancer balancer(settings);
  Worker warm, cold;
  warm.id = "i-0";
  warm.service = cold.service = "app";
  warm.capacity = cold.capacity = 8;
  cold.id = "i-1";
  cold.warmingUp = true;
  CHECK_FALSE(balancer.recentMeanLoad("app", Clock::now()).has_value());
  for (int report = 0; report < 40; ++report) balancer.reportLoad(warm, {7, 1, 8});
  DOUBLES_EQUAL(1.0, *balancer.recentMeanLoad("app", Clock::now()), 0.01);
  // Reports of a cold worker don't count: they don't show how busy the warm ones are.
  for (int report = 0; report < 40; ++report) balancer.reportLoad(cold, {0, 0, 8});
  DOUBLES_EQUAL(1.0, *balancer.recentMeanLoad("app", Clock::now()), 0.01);
  CHECK_FALSE(balancer.recentMeanLoad("app", Clock::now() + settings.bounds.inTouch).has_value());
  CHECK_FALSE(balancer.recentMeanLoad("other", Clock::now()).has_value());
}
TEST(coldWorkers, areNotUsedIfNoCreditIsGranted) {
  for (CreditVerdict const verdict : {CreditVerdict::exhausted, CreditVerdict::notCounting}) {
    ColdRig rig;
    rig.publishHeartbeat(0, warmUpLeft);
    rig.publishHeartbeat(1, warmUpLeft);
    rig.creditVerdict = verdict;
    LONGS_EQUAL(5, rig.answered(503, 5));
    LONGS_EQUAL(0, rig.sends());
  }
}
/// The credit expires before it arrives.
TEST(coldWorkers, getNoRequestsWithExpiredCredits) {
  ColdRig rig;
  rig.publishHeartbeat(0, warmUpLeft);
  rig.publishHeartbeat(1, warmUpLeft);
  rig.creditDelay = warmUpCreditLife() + Ms(10);
  LONGS_EQUAL(3, rig.answered(503, 3));
  LONGS_EQUAL(0, rig.sends());
}

/// Workers of an evacuated zone get no requests, and may be cold when the evacuation ends.
TEST_GROUP(evacuatedZone){};

TEST(evacuatedZone, getsNothing) {
  ColdRig rig;
  rig.setEvacuation(true, 1);
  LONGS_EQUAL(3, rig.answered(503, 3));
  LONGS_EQUAL(0, rig.sends());
}
TEST(evacuatedZone, countsAsColdUntilItsWorkersSendHeartbeats) {
  ColdRig rig;
  rig.setEvacuation(true, 1);
  rig.setEvacuation(false, 2);
  rig.creditVerdict = CreditVerdict::exhausted;
  LONGS_EQUAL(3, rig.answered(503, 3));
  // The registrar did not know of the change yet.
  rig.publishHeartbeat(0, Ms(0), 1);
  LONGS_EQUAL(3, rig.answered(503, 3));
  rig.publishHeartbeat(0, Ms(0), 2);
  rig.publishHeartbeat(1, warmUpLeft, 2);
  LONGS_EQUAL(20, rig.answered(200, 20));
  LONGS_EQUAL(20, rig.workers[0].sends);
}

/// A node without updates from the control plane can't know which workers have gone cold since.
TEST_GROUP(coldUnheard){};

TEST(coldUnheard, workersAreAskedBeforeEachRequest) {
  ColdRig rig;
  rig.loseMajority();
  LONGS_EQUAL(5, rig.answered(200, 5));
  LONGS_EQUAL(5, rig.probes());
  rig.workers[0].warmUpMs = 500;
  LONGS_EQUAL(5, rig.answered(200, 5));
  LONGS_EQUAL(5, rig.workers[1].sends + rig.workers[0].sends - 5);
  rig.workers[1].warmUpMs = 500;
  std::size_t const before = rig.sends();
  LONGS_EQUAL(3, rig.answered(503, 3));
  LONGS_EQUAL(before, rig.sends());
}
TEST(coldUnheard, anAnswerOfAnotherWorkerIsIgnored) {
  ColdRig rig;
  rig.workers[0].id = rig.workers[1].id = "i-9";
  rig.loseMajority();
  LONGS_EQUAL(2, rig.answered(503, 2));
  LONGS_EQUAL(0, rig.sends());
}
/// Nodes of a partitioned zone can't reach the workers of other zones with health requests.
TEST(coldUnheard, thoseThatDoNotAnswerAreNotAskedByEachRequest) {
  ColdRig rig;
  rig.loseMajority();
  rig.workers[0].resetsProbes = true;
  LONGS_EQUAL(20, rig.answered(200, 20));
  LONGS_EQUAL(20, rig.workers[1].sends);
  CHECK(rig.workers[0].probes <= 2);
}
TEST(coldUnheard, thoseThatDoNotAnswerAreAskedAgainLater) {
  ColdRig rig;
  rig.loseMajority();
  rig.workers[0].resetsProbes = true;
  LONGS_EQUAL(10, rig.answered(200, 10));
  rig.workers[0].resetsProbes = false;
  rig.run(backoffAfter(rig.workers[0].probes) + Ms(200));
  LONGS_EQUAL(20, rig.answered(200, 20));
  CHECK(rig.workers[0].sends > 3);
}
TEST(coldUnheard, workersKnownAsColdGetNothing) {
  ColdRig rig;
  rig.publishHeartbeat(1, warmUpLeft);
  rig.loseMajority();
  LONGS_EQUAL(10, rig.answered(200, 10));
  LONGS_EQUAL(0, rig.workers[1].sends);
  LONGS_EQUAL(0, rig.workers[1].probes);
  LONGS_EQUAL(0, rig.creditsAsked);
}
