// Items that go back into the queue of their lot, or wait there, at a real store.
#include "tests/lots/one_store_cluster.hpp"
#include "tests/traffic/worker_stand_in.hpp"

using namespace tealshelf;

namespace {
RouteText const foreignRoute{"day", routedHost, "/day/", foreignService};
string const secondLotId = "second";

/// Submits a lot to the route of the foreign service.
void submitForeignLot(OneStoreCluster& cluster) {
  cluster.submit([](LotRecord& lot) {
    lot.id = secondLotId;
    lot.routePrefix = foreignRoute.prefix;
  });
}

/// Removes a service's only worker while items run there.
void loseOwnWorker(OneStoreCluster& cluster) {
  CHECK(cluster.runUntil([&] { return cluster.own.started > 0; }));
  cluster.own.isAway = true;
  cluster.removeWorker("i-own");
  cluster.runFor(Ms(400));
  CHECK(cluster.own.started < routedItemCount);
}

/// Adds a successor of the lost worker.
void replaceOwnWorker(OneStoreCluster& cluster) {
  cluster.own.isAway = false;
  cluster.release();
  cluster.addWorker("i-successor", ownService, routedFirstPort + 9);
  cluster.publisher.notifyAfter(Ms(1));
}
}  // namespace

TEST_GROUP(lotQueue){};

// Guards against items left behind in the queue that were under way when the last worker of their service was lost.
TEST(lotQueue, itemsUnderWayAtALostWorkerRunAtItsSuccessor) {
  OneStoreCluster cluster({ownRoute});
  cluster.submit();
  loseOwnWorker(cluster);
  replaceOwnWorker(cluster);
  cluster.runToEnd();
  LONGS_EQUAL(routedItemCount, cluster.count(true));
}
// Guards against the same for items whose route moves to a service without workers and back.
TEST(lotQueue, itemsRunOnceTheirRouteComesBackFromAServiceWithoutWorkers) {
  OneStoreCluster cluster({ownRoute});
  cluster.removeWorker("i-foreign");
  cluster.submit();
  CHECK(cluster.runUntil([&] { return cluster.own.started > 0; }));
  cluster.configure({{ownRoute.name, routedHost, routedPrefix, foreignService}});
  cluster.runFor(Ms(200));
  cluster.own.isAway = true;
  cluster.runFor(Ms(300));
  cluster.own.isAway = false;
  cluster.release();
  cluster.configure({ownRoute});
  cluster.runToEnd();
  LONGS_EQUAL(routedItemCount, cluster.count(true));
}
// Guards against items that are never given up, as their service has no worker at which they could fail.
TEST(lotQueue, itemsWithoutWorkersAreGivenUpOnceTheirTimeIsOver) {
  OneStoreCluster cluster({ownRoute});
  cluster.submit([](LotRecord& lot) { lot.keepForMs = 1500; });
  loseOwnWorker(cluster);
  LONGS_EQUAL(0, cluster.results().size());
  cluster.runToEnd();
  LONGS_EQUAL(routedItemCount, cluster.count(false));
}
// Guards against a lot whose workers don't answer holding back the lots of other services.
TEST(lotQueue, lotsOfOtherServicesRunWhileAWorkerDoesNotAnswer) {
  OneStoreCluster cluster({ownRoute, foreignRoute});
  cluster.foreign.isReleased = true;
  cluster.submit();
  CHECK(cluster.runUntil([&] { return cluster.own.started > 0; }));
  cluster.runFor(Ms(300));
  submitForeignLot(cluster);
  CHECK(cluster.runUntil([&] { return cluster.results(1).size() == routedItemCount; }, Ms(3000)));
  LONGS_EQUAL(routedItemCount, cluster.count(true, 1));
  LONGS_EQUAL(0, cluster.results().size());
  cluster.release();
  cluster.runToEnd();
}
// Guards against a lot whose worker refuses everything holding back the lots of other services.
TEST(lotQueue, lotsOfOtherServicesRunWhileAWorkerRefuses) {
  OneStoreCluster cluster({ownRoute, foreignRoute});
  cluster.foreign.isReleased = true;
  cluster.own.isAway = true;
  cluster.submit();
  CHECK(cluster.runUntil([&] { return cluster.own.started >= 4; }));
  submitForeignLot(cluster);
  CHECK(cluster.runUntil([&] { return cluster.results(1).size() == routedItemCount; }, Ms(3000)));
  LONGS_EQUAL(routedItemCount, cluster.count(true, 1));
}
// Guards against the text of an item made of runs at two services.
TEST(lotQueue, anItemWhoseRouteMovesToAnotherServiceRunsThereFromTheStart) {
  Script script;
  script.answer =
      "HTTP/1.1 200 x\r\nAttempt-Id: $ID\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n"
      "Content-Length: 400\r\n\r\nid: 1\ndata: first\n\n";
  script.end = Script::End::close;
  OneStoreCluster cluster({ownRoute});
  cluster.removeWorker("i-own");
  StandIn breaking(cluster.io, {cluster.settings.ip, routedFirstPort - 3}, script);
  breaking.onResume = script;
  cluster.addWorker("i-breaking", ownService, routedFirstPort - 3);
  cluster.publisher.notifyAfter(Ms(1));
  cluster.submit();
  CHECK(cluster.runUntil([&] { return breaking.lastEventIds.size() > 1; }));
  cluster.release();
  cluster.configure({{ownRoute.name, routedHost, routedPrefix, foreignService}});
  cluster.runToEnd();
  LONGS_EQUAL(routedItemCount, cluster.count(true));
  LONGS_EQUAL(1, cluster.foreign.lastEventIds.size());
  STRCMP_EQUAL("", cluster.foreign.lastEventIds.begin()->c_str());
}
// Guards against a worker that is left idle for long after its items have failed together.
TEST(lotQueue, aWorkerWhoseItemsFailedTogetherIsUsedAgainSoon) {
  string const head = "HTTP/1.1 200 x\r\nAttempt-Id: $ID\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n";
  Script breaksOff;
  breaksOff.early = head + "Content-Length: 400\r\n\r\nid: 1\ndata: first\n\n";
  breaksOff.pause = Ms(300);
  breaksOff.end = Script::End::close;
  Script script = breaksOff;
  OneStoreCluster cluster({ownRoute});
  cluster.removeWorker("i-own");
  StandIn worker(cluster.io, {cluster.settings.ip, routedFirstPort - 3}, script);
  worker.onResume = breaksOff;
  cluster.addWorker("i-breaking", ownService, routedFirstPort - 3);
  cluster.publisher.notifyAfter(Ms(1));
  cluster.submit();
  CHECK(cluster.runUntil([&] { return worker.sends >= 4; }));
  cluster.runFor(Ms(450));
  script = worker.onResume =
      Script{"", true, head + "Content-Length: 17\r\n\r\nid: 2\ndata: end\n\n", Script::End::keep, ""};
  CHECK(cluster.runUntil([&] { return cluster.results().size() == routedItemCount; }, Ms(1500)));
  LONGS_EQUAL(routedItemCount, cluster.count(true));
}
