#include "tests/consensus/membership_search.hpp"
#include "tests/invariant_plugin.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>

using namespace tealshelf;
using sim::Budget;
using sim::InjectedFault;
using sim::World;

/// Checks all orders of a few events on the real state machine, see membership_search.hpp.
TEST_GROUP(membershipSearch){};

namespace {
struct Case {
  char const* name;
  std::size_t disks;  ///< three of them form the first membership
  int depth;
  Budget budget;
  InjectedFault fault = InjectedFault::nothing;
};
/// Additional search depth from the environment variable TEALSHELF_DEPTH, for long runs.
int additionalDepth() {
  char const* const s = std::getenv("TEALSHELF_DEPTH");
  return s ? std::atoi(s) : 0;
}
/// Searches from a world; prints the states searched and returns the violation found.
string search(Case const& c, World const& from) {
  sim::Search s(c.fault == InjectedFault::nothing ? 3000000 : 400000);
  int const depth = c.depth + (c.fault == InjectedFault::nothing ? additionalDepth() : 0);
  string const found = s.run(from, depth);
  std::printf("%s: %zu states to depth %d\n", c.name, s.states(), depth);
  return s.cut() ? "cut short" : found;
}
World start(Case const& c) {
  return World(c.disks, 3, c.budget, c.fault);
}
/// Disk 3 has replaced disk 2; disks 0 and 3 have an acknowledged change that disk 1 lacks.
World replaced(Case const& c) {
  World w(c.disks, 3, Budget{1, 1, 2}, c.fault);
  CHECK(w.changeMembers(0, 0b0010, 3, false));
  CHECK(w.learn(3, 0));
  CHECK(w.copyFrom(3, 0));
  CHECK(w.copyFrom(3, 1));
  CHECK(w.takeOver(0, 0b1010, "configuration"));
  CHECK(w.takeOver(0, 0b1010, "members"));
  CHECK(w.write(0, 0b1000, false));
  w.allow(c.budget);
  return w;
}
/// Disks 0 and 1 have an acknowledged change; disk 2 owns the members keyspace.
World othersDecide(Case const& c) {
  World w(c.disks, 3, Budget{1, 0, 1}, c.fault);
  CHECK(w.write(0, 0b010, false));
  CHECK(w.takeOver(2, 0b010, "members"));
  w.allow(c.budget);
  return w;
}
}  // namespace

TEST(membershipSearch, noOrderOfEventsLetsAMajorityVoteWithoutAnAcknowledgedChange) {
  Case const cases[] = {
      {"a learner is promoted", 4, 5, {.writes = 1, .changes = 1, .takeovers = 1, .crashes = 0}},
      {"a learner is promoted, with a crash", 4, 4, {.writes = 1, .changes = 1, .takeovers = 1, .crashes = 1}},
      {"two changes in a row", 4, 4, {.writes = 1, .changes = 2, .takeovers = 1, .crashes = 0}},
      {"a disk is wiped and comes back", 3, 6, {.writes = 1, .changes = 1, .takeovers = 1, .crashes = 0, .wipes = 1}},
      {"a corrupt disk comes back",
       3,
       6,
       {.writes = 1, .changes = 1, .takeovers = 0, .crashes = 0, .corruptions = 1, .lateMessages = 2}},
      {"reads beside a change",
       3,
       5,
       {.writes = 1, .changes = 1, .takeovers = 1, .crashes = 0, .reads = 1, .lateMessages = 1}},
  };
  for (Case const& c : cases) STRCMP_EQUAL_TEXT("", search(c, start(c)).c_str(), c.name);
}

TEST(membershipSearch, noOrderOfEventsBringsAReplacedDiskBackWithItsOldVote) {
  Case const c{"a replaced disk comes back", 4, 5, {.writes = 0, .changes = 1, .takeovers = 0, .crashes = 1}};
  STRCMP_EQUAL("", search(c, replaced(c)).c_str());
}

TEST(membershipSearch, noOrderOfEventsLetsMembersLeaveBeforeAllKeysAreRewritten) {
  Case const c{"members leave one after the other", 3, 5, {.writes = 0, .changes = 2, .takeovers = 2, .crashes = 0}};
  STRCMP_EQUAL("", search(c, othersDecide(c)).c_str());
}

TEST(membershipSearch, injectedFaultsAreFound) {
  ExpectedViolations const expectedViolations;
  Case const cases[] = {
      {"a promoted learner votes at once",
       4,
       3,
       {.writes = 1, .changes = 1, .takeovers = 0, .crashes = 0},
       InjectedFault::learnerVotesAtOnce},
      {"a new member copies from one disk",
       4,
       4,
       {.writes = 1, .changes = 1, .takeovers = 0, .crashes = 0},
       InjectedFault::listsOneFormerMember},
      {"a corrupt disk continues to vote",
       3,
       3,
       {.writes = 1, .changes = 0, .takeovers = 0, .crashes = 0, .corruptions = 1},
       InjectedFault::corruptDiskVotes},
  };
  for (Case const& c : cases)
    STRCMP_EQUAL_TEXT("a majority that votes lacks an acknowledged change", search(c, start(c)).c_str(), c.name);
  Case const leave{"members leave at any time",
                   3,
                   5,
                   {.writes = 0, .changes = 2, .takeovers = 1, .crashes = 0},
                   InjectedFault::removesAtAnyTime};
  STRCMP_EQUAL("a majority that votes lacks an acknowledged change", search(leave, othersDecide(leave)).c_str());
  Case const back{"a replaced disk keeps its incarnation",
                  4,
                  5,
                  {.writes = 0, .changes = 1, .takeovers = 0, .crashes = 1},
                  InjectedFault::keepsIncarnation};
  STRCMP_EQUAL("a majority that votes lacks an acknowledged change", search(back, replaced(back)).c_str());
}
