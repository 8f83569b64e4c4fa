#include "tests/lots/one_store_cluster.hpp"

using namespace tealshelf;

namespace {
/// Changes the configuration while some items run, and expects that all items are finished by the lot's own service.
void expectFinishedAfterChange(vector<RouteText> const& before, vector<RouteText> const& after,
                               std::function<void(LotRecord&)> const& alter = {}) {
  OneStoreCluster cluster(before);
  cluster.submit(alter);
  CHECK(cluster.runUntil([&] { return cluster.own.started > 0; }));
  cluster.configure(after);
  cluster.runFor(Ms(200));
  CHECK(cluster.own.started < routedItemCount);
  cluster.release();
  cluster.runToEnd();
  LONGS_EQUAL(routedItemCount, cluster.count(true));
  LONGS_EQUAL(0, cluster.foreign.started);
}

/// A record as older releases wrote it.
void removeIdentity(LotRecord& lot) {
  lot.routePrefix = "";
  lot.configurationVersion = 0;
}
}  // namespace

/// A lot's route is identified by host and prefix; its name may change, and other routes may share it.
TEST_GROUP(lotRoutes){};

// Guards against items given up when another host's route takes the name of their route.
TEST(lotRoutes, itemsAreFinishedThoughAnotherHostsRouteTakesTheName) {
  expectFinishedAfterChange({ownRoute}, {{ownRoute.name, "other.example", "/day/", ownService}, ownRoute});
}
// Guards against items given up when a route of another kind takes the name of their route.
TEST(lotRoutes, itemsAreFinishedThoughARouteOfAnotherKindTakesTheName) {
  expectFinishedAfterChange({ownRoute},
                            {{ownRoute.name, "other.example", "/day/", foreignService, "repeatable"}, ownRoute});
}
// Guards against items given up when their route gets another name.
TEST(lotRoutes, itemsAreFinishedThoughTheirRouteIsRenamed) {
  expectFinishedAfterChange({ownRoute}, {{"renamed", routedHost, routedPrefix, ownService}});
}
// Guards against items run by the service of another route that takes the name of their route.
TEST(lotRoutes, itemsRunAtTheirOwnServiceBesideARouteOfTheSameNameAndHost) {
  expectFinishedAfterChange({ownRoute}, {{ownRoute.name, routedHost, "/day/", foreignService}, ownRoute});
}
// Guards against items given up when two routes swap their names.
TEST(lotRoutes, itemsRunAtTheirOwnServiceThoughTwoRoutesSwapTheirNames) {
  RouteText const day{"day", routedHost, "/day/", foreignService};
  expectFinishedAfterChange(
      {ownRoute, day}, {{"day", routedHost, routedPrefix, ownService}, {"night", routedHost, "/day/", foreignService}});
}
// Guards against records of older releases, which tell no prefix, losing their route.
TEST(lotRoutes, itemsOfOlderRecordsAreFinishedThoughTheirRouteIsRenamed) {
  expectFinishedAfterChange({ownRoute}, {ownRoute}, removeIdentity);
  expectFinishedAfterChange({ownRoute}, {{"renamed", routedHost, routedPrefix, ownService}}, removeIdentity);
  RouteText const sameName{ownRoute.name, routedHost, "/day/", foreignService};
  expectFinishedAfterChange({sameName, ownRoute}, {sameName, ownRoute}, removeIdentity);
}
// Guards against items sent under one name of their route and answered under another counted for two routes.
TEST(lotRoutes, outcomesAfterARenameCountForTheSameRoute) {
  OneStoreCluster cluster({ownRoute});
  cluster.beginRollout();
  cluster.runFor(Ms(100));
  cluster.submit();
  CHECK(cluster.runUntil([&] { return cluster.own.started > 0; }));
  cluster.configure({{"renamed", routedHost, routedPrefix, ownService}});
  cluster.runFor(Ms(200));
  cluster.release();
  cluster.runToEnd();
  CHECK(cluster.runUntil([&] {
    vector<VersionTally> const all = cluster.evidence.all();
    return std::any_of(all.begin(), all.end(),
                       [](VersionTally const& tally) { return tally.succeeded >= routedItemCount; });
  }));
  LONGS_EQUAL(1, cluster.evidence.all().size());
  LONGS_EQUAL(routedItemCount, cluster.evidence.all().front().sent);
}
// Guards against items that wait for a route that is gone, or run as another route has its name.
TEST(lotRoutes, itemsOfARemovedRouteAreGivenUp) {
  for (char const* const otherHost : {"other.example", "shop.example"}) {
    OneStoreCluster cluster({ownRoute});
    cluster.submit();
    CHECK(cluster.runUntil([&] { return cluster.own.started > 0; }));
    std::size_t const started = cluster.own.started;
    cluster.configure({{ownRoute.name, otherHost, "/day/", foreignService}});
    cluster.runFor(cluster.settings.bounds.applyWithin);
    cluster.release();
    cluster.runToEnd();
    LONGS_EQUAL(routedItemCount - started, cluster.count(false));
    LONGS_EQUAL(started, cluster.own.started);
    LONGS_EQUAL(0, cluster.foreign.started);
  }
}
// Guards against items given up by a store whose configuration is older than the one under which their lot was taken.
TEST(lotRoutes, itemsWaitForTheConfigurationUnderWhichTheirLotWasTaken) {
  OneStoreCluster cluster({{"day", routedHost, "/day/", foreignService}});
  cluster.release();
  cluster.submit([&](LotRecord& lot) { lot.configurationVersion = cluster.version + 1; });
  cluster.runFor(3 * cluster.settings.bounds.applyWithin);
  LONGS_EQUAL(0, cluster.results().size());
  cluster.configure({ownRoute});
  cluster.runToEnd();
  LONGS_EQUAL(routedItemCount, cluster.count(true));
  LONGS_EQUAL(0, cluster.foreign.started);
}
// Guards against queued items that no service's demand holds, so that no workers are ordered for them.
TEST(lotRoutes, queuedItemsCountForTheServiceOfTheirRoute) {
  OneStoreCluster cluster({ownRoute});
  cluster.submit();
  CHECK(cluster.runUntil([&] { return cluster.backlogOf(ownService) > 0; }));
  cluster.configure({{ownRoute.name, routedHost, routedPrefix, foreignService}});
  CHECK(cluster.runUntil([&] { return cluster.backlogOf(foreignService) > 0; }));
  DOUBLES_EQUAL(0, cluster.backlogOf(ownService), 0);
}
