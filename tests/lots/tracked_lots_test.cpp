#include "tests/gauge_value.hpp"
#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
constexpr int calls = 60;
/// Tokens of a lot of StoreFleet, so that a second one is refused.
constexpr std::uint64_t oneLotsTokens = 10;

double trackedLots() {
  return gaugeValue("tealshelf_control_tracked_lots");
}

/// A fleet with one accepted lot.
struct TrackedLotsFleet : StoreFleet {
  TrackedLotsFleet() : StoreFleet("/tmp/tealshelf-tracked-lots", 3, 1, 17620) {
    CHECK(runUntil([this] { return submitFor("", "lot-0", 100, oneLotsTokens) == 0; }, Ms(20000)));
  }
};
}  // namespace

/// What a control node keeps in memory is bounded by the lots there are, not by the calls about lots.
TEST_GROUP(trackedLots){};

// Guards against memory that grows with each DELETE of a lot that doesn't exist.
TEST(trackedLots, anEndOfAnUnknownLotLeavesNothing) {
  TrackedLotsFleet fleet;
  for (int call = 0; call < calls; ++call) {
    EndLot const end{StoreFleet::host(), "unknown-" + std::to_string(call), 0};
    std::pair<int, FindLotReply> const reply = fleet.ask(fleet.controlAddress(), end);
    LONGS_EQUAL(0, reply.first);
    CHECK(!reply.second.known);
  }
  DOUBLES_EQUAL(1, trackedLots(), 0.1);
}
// Guards against the same with each lot that is refused.
TEST(trackedLots, aRefusedLotIsForgotten) {
  TrackedLotsFleet fleet;
  for (int call = 0; call < calls; ++call)
    LONGS_EQUAL(static_cast<int>(ErrorCode::lotOverQuota),
                fleet.submitFor("", "refused-" + std::to_string(call), 100, oneLotsTokens));
  CHECK(fleet.runUntil([] { return trackedLots() < 2; }, Ms(10000)));
  CHECK(fleet.find("lot-0").has_value());
}
// Guards against a lot that is forgotten with the refused ones, and can be neither ended nor read.
TEST(trackedLots, anAcceptedLotStays) {
  TrackedLotsFleet fleet;
  fleet.runUntil([] { return false; }, Ms(3000));
  DOUBLES_EQUAL(1, trackedLots(), 0.1);
  CHECK(fleet.isReadable("lot-0"));
  for (int call = 0; call < 2; ++call) {
    std::pair<int, FindLotReply> const ended =
        fleet.ask(fleet.controlAddress(), EndLot{StoreFleet::host(), "lot-0", 0});
    LONGS_EQUAL(0, ended.first);
    CHECK(ended.second.known);
  }
}
