#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

TEST_GROUP(goneDisk){};

/// One of three holders restarts with an empty disk while another is unreachable for a while. The unreachable one still
/// has its copy, so the record must keep naming it: with it dropped, the record would name too few holders to survive
/// further losses.
TEST(goneDisk, anUnreachableHolderStaysInTheRecordWhenAnotherLosesItsDisk) {
  StoreFleet fleet("/tmp/tealshelf-gone-disk", 3, 2, 17860);
  CHECK(fleet.runUntil([&fleet] { return fleet.submit("lot", 1000) == 0; }, Ms(20000)));
  std::optional<LotRecord> const accepted = fleet.find("lot");
  CHECK(accepted.has_value());
  LONGS_EQUAL(3, accepted->holders.size());
  auto const indexOf = [&](std::size_t holder) {
    return static_cast<std::size_t>(accepted->holders[holder].name.back() - '0');
  };
  fleet.halt(indexOf(2));
  fleet.runUntil([] { return false; }, Ms(550));
  fleet.replaceDisk(indexOf(1));
  NodeId const unreachable = accepted->holders[2].id;
  bool const dropped = fleet.runUntil(
      [&] {
        std::optional<LotRecord> const lot = fleet.find("lot");
        return lot && lot->holders.size() < 3 && !lot->isHeldBy(unreachable);
      },
      Ms(4000));
  CHECK_FALSE(dropped);
}
