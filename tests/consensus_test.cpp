#include "tests/consensus_sim.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdlib>

using namespace tealshelf;

TEST_GROUP(consensussim){static std::uint64_t seeds(){char const* const s = std::getenv("TEALSHELF_SEEDS");
return s ? std::strtoull(s, nullptr, 10) : 12;
}
static void trouble(sim::Cluster& g) {
  std::size_t const n = g.nodes().size();
  std::size_t const i = g.dice(n);
  std::size_t down = 0;
  for (sim::Cluster::Node const& x : g.nodes()) down += !x.up || x.frozen;
  switch (g.dice(9)) {
    case 0:
      if (g.nodes()[i].up) g.power(i);
      break;
    case 1:
      if (g.nodes()[i].up) g.kill(i);
      break;
    case 2:
    case 3:
      if (!g.nodes()[i].up) g.start(i);
      break;
    case 4:
      if (g.nodes()[i].up && down < 2) g.nodes()[i].frozen = true;
      break;
    case 5:
      if (g.nodes()[i].frozen) g.thaw(i);
      break;
    case 6:
      g.cuts.insert({i, g.dice(n)});
      break;
    case 7:
      g.cuts.clear();
      break;
    case 8:
      g.loss = g.dice(3) * 0.1;
      break;
    default:
      break;
  }
}
static void heal(sim::Cluster& g) {
  g.cuts.clear();
  g.loss = 0;
  for (std::size_t i = 0; i < g.nodes().size(); ++i) {
    if (!g.nodes()[i].up)
      g.start(i);
    else if (g.nodes()[i].frozen)
      g.thaw(i);
  }
}
static string play(std::uint64_t seed, std::size_t n, bool breakSync, std::uint64_t& writes, std::uint64_t& reads,
                   bool syncAtStart = true) {
  sim::Cluster g(seed, n, breakSync);
  g.syncAtStart = syncAtStart;
  g.run(400);
  std::uint64_t last = 0;
  for (int k = 0; k < 6000 && g.broken.empty(); ++k) {
    g.step();
    if (g.dice(3) == 0) g.write();
    if (g.dice(5) == 0) g.read();
    if (g.dice(60) == 0) trouble(g);
    if (g.acked > last && g.dice(40) == 0)
      for (std::size_t i = 0; i < n; ++i)
        if (g.nodes()[i].up) g.power(i);
    last = g.acked;
    g.check();
  }
  heal(g);
  for (int k = 0; k < 1200 && g.broken.empty(); ++k) {
    g.step();
    g.check();
  }
  writes += g.writes;
  reads += g.reads;
  if (!g.broken.empty()) return g.broken;
  std::size_t owners = 0;
  for (sim::Cluster::Node const& x : g.nodes()) {
    owners += x.consensus->owns("configuration");
    if (x.consensus->owns("configuration") && g.value(x) < g.acked) return "the owner lost an acknowledged write";
    std::optional<std::map<string, string>> const v = x.consensus->lastKnownValues("configuration");
    if (!v) return x.self.name + " has no settled view after all was healed";
    if (std::strtoull(v->at("current").c_str(), nullptr, 10) < g.acked)
      return x.self.name + " lags after all was healed";
  }
  return owners == 1 ? "" : std::to_string(owners) + " owners after all was healed";
}
}
;

TEST(consensussim, threeKeepEveryPromise) {
  std::uint64_t w = 0, r = 0;
  for (std::uint64_t s = 1; s <= seeds(); ++s) {
    string const b = play(s, 3, false, w, r);
    if (!b.empty()) FAIL(("seed " + std::to_string(s) + ": " + b).c_str());
  }
  CHECK(w > 100 && r > 100);
}

TEST(consensussim, fourKeepEveryPromise) {
  std::uint64_t w = 0, r = 0;
  for (std::uint64_t s = 1; s <= seeds(); ++s) {
    string const b = play(1000 + s, 4, false, w, r);
    if (!b.empty()) FAIL(("seed " + std::to_string(s) + ": " + b).c_str());
  }
  CHECK(w > 100 && r > 100);
}

TEST(consensussim, anAnswerBeforeItsSyncIsCaught) {
  std::uint64_t w = 0, r = 0;
  bool caught = false;
  for (std::uint64_t s = 1; s <= 3000 && !caught; ++s) caught = !play(s, 3, true, w, r).empty();
  CHECK_TEXT(caught, "the broken variant was never caught");
}

TEST(consensussim, aStartThatDoesNotSyncIsCaught) {
  std::uint64_t w = 0, r = 0;
  bool caught = false;
  for (std::uint64_t s = 1; s <= 3000 && !caught; ++s) caught = !play(s, 3, false, w, r, false).empty();
  CHECK_TEXT(caught, "the broken variant was never caught");
}

TEST(consensussim, restartedMemberLearnsOfNextVersions) {
  sim::Cluster g(7, 4);
  g.run(600);
  for (int k = 0; k < 40; ++k) {
    g.write();
    g.run(3);
  }
  for (std::size_t i = 0; i < 4; ++i) {
    g.kill(i);
    g.run(100);
    g.start(i);
    g.run(400);
    std::uint64_t const before = g.acked;
    for (int k = 0; k < 40; ++k) {
      g.write();
      g.run(3);
    }
    CHECK(g.acked > before);
    g.run(200);
    for (sim::Cluster::Node const& x : g.nodes()) {
      std::optional<std::map<string, string>> const v = x.consensus->lastKnownValues("configuration");
      CHECK_TEXT(v.has_value(), (x.self.name + " is not settled").c_str());
      CHECK(std::strtoull(v->at("current").c_str(), nullptr, 10) >= g.acked);
    }
  }
}

TEST(consensussim, wipedAfterAckWithStaleThird) {
  sim::Cluster g(11, 3);
  g.run(600);
  for (int k = 0; k < 40; ++k) {
    g.write();
    g.run(3);
  }
  std::size_t owner = 3;
  for (std::size_t i = 0; i < 3; ++i)
    if (g.nodes()[i].consensus->owns("configuration")) owner = i;
  CHECK(owner < 3);
  std::size_t const stale = (owner + 1) % 3, other = (owner + 2) % 3;
  g.kill(stale);
  std::uint64_t const before = g.acked;
  for (int k = 0; k < 60; ++k) {
    g.write();
    g.run(3);
  }
  CHECK(g.acked > before);
  g.power(other);
  g.power(owner);
  // The owner's disk is gone; its new identity has no vote, so the stale one and the other decide.
  sim::Cluster::Node& w = g.nodes()[owner];
  w.disk.clear();
  w.self.id = NodeId(777);
  w.self.founder = false;
  g.start(owner);
  g.start(other);
  g.run(300);
  CHECK(!w.consensus->owns("configuration"));
  g.start(stale);
  g.run(600);
  for (std::size_t i : {stale, other}) {
    if (!g.nodes()[i].consensus->owns("configuration")) continue;
    CHECK(g.value(g.nodes()[i]) >= g.acked);
    return;
  }
  FAIL("nobody owns the configuration");
}

namespace {
/// Cuts a node off, in one direction or both, freezes it or delays all packets; all heal in between.
string isolate(std::uint64_t seed, bool datedByArrival, std::uint64_t& writes) {
  sim::Cluster g(seed, 3 + seed % 2);
  g.datedByArrival = datedByArrival;
  g.run(400);
  for (std::uint64_t round = 0; round < 10; ++round) {
    std::size_t const n = g.nodes().size(), i = g.dice(n), kind = (seed + round) % 5;
    for (std::size_t j = 0; j < n && kind < 3; ++j) {
      if (kind != 1) g.cuts.insert({i, j});
      if (kind != 2) g.cuts.insert({j, i});
    }
    g.nodes()[i].frozen = kind == 3;
    g.delay = kind == 4 ? 2000 : 0;
    bool const thaws = kind == 3;
    for (std::size_t k = 0; k < 1600 && g.broken.empty(); ++k) {
      if (k == 800) {
        g.cuts.clear();
        g.delay = 0;
        if (thaws) g.thaw(i);
        g.check();
      }
      g.step();
      if (k % 4 == 0) g.write();
      g.check();
    }
    if (!g.broken.empty()) return g.broken;
    for (sim::Cluster::Node const& x : g.nodes())
      if (!x.consensus->inContactWithMajority(g.now())) return x.self.name + " is not in touch again after the heal";
  }
  writes += g.writes;
  return "";
}
}  // namespace

TEST(consensussim, contactIsDatedByOwnQuestions) {
  std::uint64_t writes = 0;
  for (std::uint64_t s = 1; s <= seeds(); ++s) {
    string const b = isolate(s, false, writes);
    if (!b.empty()) FAIL(("seed " + std::to_string(s) + ": " + b).c_str());
  }
  CHECK(writes > 100);
}

TEST(consensussim, contactDatedByArrivalIsCaught) {
  bool caught = false;
  std::uint64_t writes = 0;
  for (std::uint64_t s = 1; s <= 60 && !caught; ++s)
    caught = isolate(s, true, writes).find("acknowledged a newer write") != string::npos;
  CHECK_TEXT(caught, "the old dating was never caught");
}

namespace {
std::size_t ownerOf(sim::Cluster& g) {
  for (std::size_t i = 0; i < g.nodes().size(); ++i)
    if (g.nodes()[i].up && g.nodes()[i].consensus->owns("configuration")) return i;
  return g.nodes().size();
}
}  // namespace

TEST(consensussim, anOwnerCutOffStepsDownAndItsOpenWriteIsUnknown) {
  for (std::uint64_t s = 1; s <= seeds(); ++s) {
    sim::Cluster g(s, 3);
    g.run(400);
    std::size_t const owner = ownerOf(g);
    CHECK(owner < 3);
    Consensus& c = *g.nodes()[owner].consensus;
    for (std::size_t j = 0; j < 3; ++j) {
      if (s % 3 != 1) g.cuts.insert({owner, j});
      if (s % 3 != 2) g.cuts.insert({j, owner});
    }
    std::uint64_t const before = c.epochOf("configuration").number;
    std::size_t const open = g.unknown;
    while (!g.writing(owner)) g.write();
    g.run(130);  // the bound of an open write, and a tick
    CHECK_EQUAL(open + 1, g.unknown);
    CHECK_FALSE_TEXT(c.owns("configuration"), "it builds on after an unknown end");
    g.run(310);
    CHECK_FALSE(c.owns("members"));
    CHECK(ownerOf(g) != owner && ownerOf(g) < 3);
    g.cuts.clear();
    g.run(600);
    CHECK(c.inContactWithMajority(g.now()));
    std::size_t const next = ownerOf(g);
    CHECK(next < 3 && g.nodes()[next].consensus->epochOf("configuration").number > before);
  }
}

TEST(consensussim, anUnknownEndTakenForARefusalIsCaught) {
  bool caught = false;
  for (std::uint64_t s = 1; s <= 60 && !caught; ++s) {
    sim::Cluster g(s, 3);
    g.unknownIsRefused = true;
    g.run(400);
    for (int k = 0; k < 6000 && g.broken.empty(); ++k) {
      g.step();
      if (g.dice(3) == 0) g.write();
      if (g.dice(60) == 0) trouble(g);
      g.check();
    }
    caught = g.broken.find("refused is in force") != string::npos;
  }
  CHECK_TEXT(caught, "the broken variant was never caught");
}

namespace {
/// What a node would have shown by the old rule, which wanted that nothing was under way.
std::optional<std::map<string, string>> viewWhenQuiet(sim::Cluster::Node const& x, TimePoint now) {
  Position applied;
  for (KeyspaceProgress const& k : x.consensus->heartbeat(now).keyspaces)
    if (k.keyspace == "configuration") applied = Position{k.epoch, k.applied};
  if (applied.epoch != x.known.epoch || applied.sequence < x.known.sequence || !x.known.sequence) return std::nullopt;
  std::map<string, string> v;
  for (KeyspaceCopy const& k : x.consensus->exportKeyspaces())
    for (std::pair<string const, Entry> const& e : k.entries) {
      if (k.keyspace != "configuration") continue;
      if (e.second.epoch != applied.epoch || e.second.sequence > x.known.sequence) return std::nullopt;
      v[e.first] = e.second.value;
    }
  return v;
}
/// Four members under unbroken writes, one of them restarted midway; says where a view is missing or lags.
string underWrites(std::uint64_t seed, bool oldRule, std::uint64_t& writes) {
  sim::Cluster g(seed, 4);
  g.run(600);
  std::size_t const restarted = (ownerOf(g) + 1) % 4;
  for (int k = 0; k < 6000 && g.broken.empty(); ++k) {
    if (k == 2500) g.kill(restarted);
    if (k == 3000) g.start(restarted);
    for (int turn = 0; turn < 8; ++turn) g.write();
    g.step();
    g.check();
    if (k < 200) continue;
    for (std::size_t i = 0; i < 4; ++i) {
      sim::Cluster::Node const& x = g.nodes()[i];
      if (x.consensus->owns("configuration") || (i == restarted && k >= 2500 && k < 3200)) continue;
      std::optional<std::map<string, string>> const v =
          oldRule ? viewWhenQuiet(x, g.now()) : x.consensus->lastKnownValues("configuration");
      if (!v) return x.self.name + " has no view at step " + std::to_string(k);
      if (std::strtoull(v->at("current").c_str(), nullptr, 10) + 12 < g.acked)
        return x.self.name + " lags at step " + std::to_string(k);
    }
  }
  writes += g.writes;
  return g.broken;
}
}  // namespace

TEST(consensussim, allMembersSeeCommittedValuesUnderUnbrokenWrites) {
  std::uint64_t writes = 0;
  for (std::uint64_t s = 1; s <= seeds() / 2; ++s) {
    string const b = underWrites(s, false, writes);
    if (!b.empty()) FAIL(("seed " + std::to_string(s) + ": " + b).c_str());
  }
  CHECK(writes > 1000 * seeds() / 2);
}

TEST(consensussim, aViewThatWaitsForQuietIsCaught) {
  std::uint64_t writes = 0;
  for (std::uint64_t s = 1; s <= 6; ++s) CHECK(underWrites(s, true, writes).find("no view") != string::npos);
}

TEST(consensussim, aMemberThatLagsIsCaughtUpInPiecesWhileWritesGoOn) {
  for (std::uint64_t s = 1; s <= 4; ++s) {
    sim::Cluster g(s, 4);
    g.run(600);
    std::size_t const owner = ownerOf(g), away = (owner + 1) % 4;
    g.fill(owner, 3000, 200);
    g.run(100);
    g.loss = s % 2 ? 0.05 : 0;
    // The first time away is short, the second long; the third ends in the middle of the pieces.
    for (int const steps : {60, 3000, 30, 600}) {
      g.kill(away);
      if (steps == 3000) g.fill(owner, 3000, 200);
      for (int k = 0; k < steps; ++k) {
        g.write();
        g.step();
      }
      g.start(away);
      std::size_t const before = g.pieces;
      for (int k = 0; k < (steps == 30 ? 110 : 900); ++k) {
        g.write();
        g.step();
        if (k % 50 == 0) g.check();
      }
      if (steps == 60 && !g.loss) CHECK_TEXT(g.pieces - before < 4, "a short time away costs the whole state");
    }
    CHECK(g.pieces > 10);
    CHECK_TEXT(g.largestPiece < 100000, "a piece is over its bound");
    g.loss = 0;
    g.run(400);
    STRCMP_EQUAL("", g.broken.c_str());
    std::map<string, string> const v = g.nodes()[owner].consensus->committedValues("configuration");
    CHECK(v.size() > 3000 && g.nodes()[owner].consensus->owns("configuration"));
    CHECK_TEXT(g.nodes()[away].consensus->lastKnownValues("configuration") == v, "the member that was away lags");
  }
}
