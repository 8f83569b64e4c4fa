#include "tests/seeds.hpp"
#include "tests/updates/updates_sim.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr std::uint64_t updateSeeds = 6;

/// Runs a scenario of random faults; describes the first violated invariant, if any.
string runScenario(std::uint64_t seed, sim::Fleet::Config c) {
  sim::Fleet f(seed, c);
  f.commitConfiguration();
  f.run(400);
  for (int k = 0; k < 4000 && f.broken.empty(); ++k) {
    f.step();
    if (f.dice(60) == 0) f.commitConfiguration();
    if (f.dice(12) == 0) f.commitWorker();
    if (f.dice(25)) continue;
    sim::Fleet::Node& x = f.nodes()[f.dice(f.nodes().size())];
    sim::Fleet::Control& y = f.controls()[f.dice(f.controls().size())];
    switch (f.dice(10)) {
      case 0:
      case 1:
        if (x.up) f.kill(x);
        f.noteFault(x);
        break;
      case 2:
      case 3:
      case 4:
        if (!x.up) {
          f.start(x);
          f.noteFault(x);
        } else if (x.frozen) {
          x.frozen = false;
          f.noteFault(x);
        }
        break;
      case 5:
        if (x.up) {
          x.frozen = true;
          f.noteFault(x);
        }
        break;
      case 6:  // a node's messages to all control nodes are lost; it still answers its subscribers
        for (sim::Fleet::Control const& m : f.controls()) f.cuts.insert({x.name, m.name});
        f.noteFault(x);
        break;
      case 7: {
        for (std::pair<string, string> const& p : f.cuts)
          for (sim::Fleet::Node& n : f.nodes())
            if (p.first == n.name || p.second == n.name) f.noteFault(n);
        f.cuts.clear();
        break;
      }
      case 8:
        y.healthy = !y.healthy && true;
        break;
      case 9:
        f.loss = f.dice(2) * 0.02;
        f.noteFaultEverywhere();
        break;
      default:
        break;
    }
    // All control nodes but one stay healthy, and lost messages count as faults of the nodes concerned.
    std::size_t ill = 0;
    for (sim::Fleet::Control& m : f.controls())
      if (!m.healthy && ++ill > 1) m.healthy = true;
    if (f.loss > 0) f.noteFaultEverywhere();
    for (std::pair<string, string> const& p : f.cuts)
      for (sim::Fleet::Node& n : f.nodes())
        if (p.first == n.name || p.second == n.name) f.noteFault(n);
  }
  f.cuts.clear();
  f.loss = 0;
  for (sim::Fleet::Control& m : f.controls()) m.healthy = true;
  for (sim::Fleet::Node& n : f.nodes()) {
    if (!n.up) f.start(n);
    n.frozen = false;
    f.noteFault(n);
  }
  f.run(1200);
  if (f.broken.empty()) f.checkEqual();
  return f.broken;
}

/// A subscriber that knows only a seed in another zone.
UpdateSubscriber startingSubscriber(Settings const& settings, UpdatePublisher& publisher) {
  DataNode const self{"self", "z", "edge", {"10.0.0.99", 2}, 300};
  auto const controlAddress = [](string const& ip) { return Address{ip, 1}; };
  return UpdateSubscriber(self, UpdateSubscriber::Timeouts::of(settings.bounds), {{"10.0.0.77", 1}}, controlAddress,
                          publisher);
}
}  // namespace

TEST_GROUP(updates){};

TEST(updates, aTableServesDeltasFromAnyVersionInItsHistory) {
  std::mt19937_64 g(5);
  VersionedTable b(64);
  vector<std::pair<std::uint64_t, std::map<string, string>>> was;
  for (int i = 0; i < 400; ++i) {
    was.emplace_back(b.digest(), b.rows());
    string const k = "k" + std::to_string(g() % 60);
    if (g() % 4)
      b.put(k, std::to_string(g() % 5));
    else
      b.erase(k);
  }
  std::size_t partialDeltas = 0;
  for (std::pair<std::uint64_t, std::map<string, string>> const& w : was) {
    VersionedTable o(8);
    for (std::pair<string const, string> const& r : w.second) o.put(r.first, r.second);
    CHECK(o.digest() == w.first);
    TableDelta const d = b.deltaSince(w.first);
    partialDeltas += !d.full;
    std::map<string, string> heard = w.second;
    CHECK(o.apply(d, [&](TableRow const& r) {
      if (r.removed)
        heard.erase(r.key);
      else
        heard[r.key] = r.value;
    }));
    CHECK(o.digest() == b.digest() && o.rows() == b.rows() && heard == b.rows());
  }
  CHECK(partialDeltas > 20);
}

TEST(updates, aDeltaForAnotherVersionChangesNothing) {
  VersionedTable a, b;
  a.put("x", "1");
  std::uint64_t const base = a.digest();
  a.put("y", "2");
  b.put("x", "other");
  std::map<string, string> const before = b.rows();
  CHECK_FALSE(b.apply(a.deltaSince(base), [](TableRow const&) {}));
  TableDelta forged = a.deltaSince(0);
  forged.rows[0].value = "forged";
  CHECK_FALSE(b.apply(forged, [](TableRow const&) {}));
  CHECK(b.rows() == before);
  TableDelta twice = a.deltaSince(0);
  twice.rows.push_back(twice.rows[0]);
  CHECK_FALSE(b.apply(twice, [](TableRow const&) {}));
}

TEST(updates, relaysAreTheStrongestNodesAndSmallZonesHaveNone) {
  vector<DataNode> z;
  for (int i = 0; i < 8; ++i) z.push_back({"n" + std::to_string(i), "z", "edge", {"10.0.0.1", i + 1}, 40});
  CHECK(RelayTopology::relaysOf(z).empty());
  for (int i = 8; i < 21; ++i)
    z.push_back({"n" + std::to_string(i), "z", "edge", {"10.0.0.1", i + 1}, i > 17 ? 300u : 40u});
  vector<DataNode> const r = RelayTopology::relaysOf(z);
  LONGS_EQUAL(3, r.size());
  for (DataNode const& n : r) LONGS_EQUAL(300, n.cpuThousandths);
  std::reverse(z.begin(), z.end());
  CHECK_TEXT(RelayTopology::relaysOf(z) == r, "the order of the list must not matter");
  CHECK(RelayTopology::parentsOf(r[1].name, r, true).empty());
  CHECK(RelayTopology::parentsOf(r[0].name, r, false).empty());
  LONGS_EQUAL(1, RelayTopology::parentsOf(r[1].name, r, false).size());
  LONGS_EQUAL(2, RelayTopology::parentsOf(r[2].name, r, false).size());
  LONGS_EQUAL(3, RelayTopology::parentsOf("n1", r, false).size());
}

TEST(updates, aFailedSourceBacksOffLongerEachTime) {
  UpdateSources s(Ms(100), 7);
  Address const a{"10.0.0.1", 1}, b{"10.0.0.2", 1}, c{"10.0.0.3", 1};
  s.set({a}, {b, c});
  TimePoint const t = TimePoint() + std::chrono::hours(1);
  CHECK(s.next(t) == a);
  s.noteFailed(a, t);
  CHECK(s.next(t) == b);
  CHECK(s.next(t + Ms(151)) == a);
  s.noteFailed(a, t + Ms(151));
  CHECK(s.next(t + Ms(151 + 199)) == b);
  s.noteFailed(b, t + Ms(151));
  s.noteFailed(c, t + Ms(151));
  CHECK(s.allBackingOff(t + Ms(152)));
  s.noteAnswered(a);
  CHECK(s.next(t + Ms(152)) == a);
}

TEST(updates, olderProofsAndTooLongRelayChainsAreRefused) {
  asio::io_context io;
  Settings settings;
  UpdatePublisher up(io, settings, 0), publisher(io, settings, 0);
  UpdateCopy copy(publisher, "z", Ms(100));
  TimePoint const t = TimePoint() + std::chrono::hours(1);
  up.proof = [&] { return UpdatePublisher::Proof{true, 0, t}; };
  up.common.put("w/a", "1");
  up.setConfiguration(2, "two");
  UpdateRequest q;
  q.self.zone = "z";
  copy.fillVersions(q);
  auto const none = [](TableRow const&) {};
  UpdateReply r = *up.answerIfDue(q, t, t, false);
  UpdateReply deep = r, ill = r;
  deep.depth = UpdateCopy::maxDepth;
  ill.healthy = false;
  CHECK(copy.apply(deep, t, none, none) == UpdateCopy::Result::tooDeep);
  CHECK(copy.apply(ill, t, none, none) == UpdateCopy::Result::unhealthy);
  CHECK(copy.apply(r, t, none, none) == UpdateCopy::Result::applied);
  CHECK(copy.provenAt() == t);
  up.common.erase("w/a");
  copy.fillVersions(q);
  UpdateReply old = *up.answerIfDue(q, t, t, false);
  old.proofAgeMs = 500;
  CHECK(copy.apply(old, t, none, none) == UpdateCopy::Result::outdated);
  LONGS_EQUAL(1, publisher.common.rows().size());
  // A configuration never goes back, whichever node sends an older one.
  UpdateReply back = old;
  back.proofAgeMs = 0;
  back.configurationVersion = 1;
  back.configuration = "one";
  CHECK(copy.apply(back, t, none, none) == UpdateCopy::Result::applied);
  LONGS_EQUAL(2, publisher.configurationVersion());
}

TEST(updates, aStartingNodeIsIntroducedToASourceOfTheTables) {
  asio::io_context io;
  Settings settings;
  UpdatePublisher control(io, settings, 0), publisher(io, settings, 0);
  TimePoint const t = TimePoint() + std::chrono::hours(1);
  control.proof = [&] { return UpdatePublisher::Proof{true, 0, t}; };
  control.setConfiguration(2, "two");
  control.common.put("w/a", "a worker");
  Member const member{NodeId(1), "c", "10.0.0.9", "z", false};
  control.common.put(string(memberRowPrefix) + "1", serialize(member));
  for (int number = 0; number < 20; ++number) {
    DataNode const node{"n" + std::to_string(number), "z", "edge", {"10.0.0." + std::to_string(number), 2}, 300};
    control.zones["z"].put(node.name, serialize(node));
  }
  UpdateSubscriber subscriber = startingSubscriber(settings, publisher);
  UpdateSubscriber::Plan const first = subscriber.firstPlan({"10.0.0.77", 1}, t);
  CHECK(first.request.isIntroduction);
  UpdateReply const reply = *control.answerIfDue(first.request, t, t, false);
  CHECK(reply.common.empty() && reply.configuration.empty());
  LONGS_EQUAL(1, reply.members.size());
  CHECK(subscriber.receive(first, reply, t, t));
  CHECK(subscriber.isIntroduced());
  // The sources are relays of the zone, then the control node in the zone, then the seed.
  vector<Address> const sources = subscriber.firstSources(t);
  LONGS_EQUAL(4, sources.size());
  CHECK(sources[0].port == 2 && sources[1].port == 2);
  CHECK((sources[2] == Address{"10.0.0.9", 1}));
  CHECK((sources[3] == Address{"10.0.0.77", 1}));
  UpdateSubscriber::Plan const second = subscriber.firstPlan(sources[2], t);
  CHECK_FALSE(second.request.isIntroduction);
  CHECK(subscriber.receive(second, *control.answerIfDue(second.request, t, t, false), t, t));
  LONGS_EQUAL(2, publisher.configurationVersion());
  LONGS_EQUAL(2, publisher.common.rows().size());
}
TEST(updates, anIntroductionByAnUnhealthyNodeIsRejected) {
  asio::io_context io;
  Settings settings;
  UpdatePublisher publisher(io, settings, 0);
  TimePoint const t = TimePoint() + std::chrono::hours(1);
  UpdateSubscriber subscriber = startingSubscriber(settings, publisher);
  UpdateSubscriber::Plan const first = subscriber.firstPlan({"10.0.0.77", 1}, t);
  UpdateReply unhealthy;
  CHECK_FALSE(subscriber.receive(first, unhealthy, t, t));
  CHECK_FALSE(subscriber.isIntroduced());
}

TEST(updates, aFleetWithRelaysConverges) {
  for (std::uint64_t s = 1; s <= seedCount(updateSeeds); ++s) {
    string const b = runScenario(s, {});
    if (!b.empty()) FAIL(("seed " + std::to_string(s) + ": " + b).c_str());
  }
}

TEST(updates, aSmallFleetWithoutRelaysConverges) {
  for (std::uint64_t s = 1; s <= seedCount(updateSeeds); ++s) {
    sim::Fleet::Config const c{4, 4, 3, false, false, false, false};
    string const b = runScenario(100 + s, c);
    if (!b.empty()) FAIL(("seed " + std::to_string(s) + ": " + b).c_str());
  }
}

TEST(updates, aZoneWithoutControlConverges) {
  for (std::uint64_t s = 1; s <= seedCount(updateSeeds); ++s) {
    sim::Fleet::Config const c{3, 5, 20, false, false, false, false};
    string const b = runScenario(200 + s, c);
    if (!b.empty()) FAIL(("seed " + std::to_string(s) + ": " + b).c_str());
  }
}

TEST(updates, fanOutAndBytesAreBounded) {
  sim::Fleet f(9, {8, 4, 40, false, false, false, false});
  f.commitConfiguration();
  f.run(1200);
  std::size_t relays = 0, atControl = 0;
  for (sim::Fleet::Node const& n : f.nodes()) {
    relays += f.relays(n);
    CHECK(f.heldRequestsAt(n) <= 2 * RelayTopology::fanOut);
    if (!f.relays(n)) LONGS_EQUAL(0, f.heldRequestsAt(n));
  }
  for (sim::Fleet::Control const& c : f.controls()) atControl += f.heldRequestsAt(c);
  LONGS_EQUAL(4 * 5, relays);
  CHECK_TEXT(atControl <= relays, "only relays poll control nodes");
  std::uint64_t const full = f.fullDeltas;
  for (int k = 0; k < 100; ++k) {
    f.commitWorker();
    f.run(20);
  }
  LONGS_EQUAL(full, f.fullDeltas);
  CHECK(f.deltas > 1000);
  STRCMP_EQUAL("", f.broken.c_str());
}

TEST(updates, aZoneThatLosesAllItsRelaysConverges) {
  sim::Fleet f(10, {});
  f.commitConfiguration();
  f.run(1200);
  for (sim::Fleet::Node& n : f.nodes())
    if (f.relays(n) && n.row.zone == "z1") f.kill(n);
  for (int k = 0; k < 30; ++k) {
    f.commitConfiguration();
    f.run(40);
  }
  STRCMP_EQUAL("", f.broken.c_str());
  f.run(600);
  f.checkEqual();
  STRCMP_EQUAL("", f.broken.c_str());
}

TEST(updates, aRelayThatReportsAFalseProofAgeIsDetected) {
  bool detected = false;
  for (std::uint64_t s = 1; s <= 30 && !detected; ++s)
    detected = !runScenario(s, {8, 4, 20, true, false, false, false}).empty();
  CHECK_TEXT(detected, "the injected fault was never detected");
}
TEST(updates, aDeltaWithLostRowsIsRepaired) {
  for (std::uint64_t s = 1; s <= 3; ++s) {
    string const b = runScenario(300 + s, {8, 4, 20, false, true, false, false});
    if (!b.empty()) FAIL(("seed " + std::to_string(s) + ": " + b).c_str());
  }
}
TEST(updates, aDroppedRowIsDetected) {
  bool detected = false;
  for (std::uint64_t s = 1; s <= 30 && !detected; ++s)
    detected = !runScenario(s, {8, 4, 20, false, false, false, true}).empty();
  CHECK_TEXT(detected, "the injected fault was never detected");
}
TEST(updates, aConfigurationRollbackIsDetected) {
  bool detected = false;
  for (std::uint64_t s = 1; s <= 30 && !detected; ++s)
    detected = !runScenario(s, {8, 4, 20, false, false, true, false}).empty();
  CHECK_TEXT(detected, "the injected fault was never detected");
}
