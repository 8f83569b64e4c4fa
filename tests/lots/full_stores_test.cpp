#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
constexpr std::size_t largeLotBytes = 150u << 10;
constexpr int maxSubmittedLots = 40;

/// Submits lots until the stores' small disks are full; returns the ids of the accepted ones.
vector<string> fillWithLots(StoreFleet& fleet) {
  vector<string> accepted;
  fleet.runUntil([&fleet] { return fleet.submit("first", largeLotBytes) == 0; }, Ms(20000));
  accepted.emplace_back("first");
  for (int number = 0; number < maxSubmittedLots; ++number) {
    string const id = "lot-" + std::to_string(number);
    if (fleet.submit(id, largeLotBytes) == 0) accepted.push_back(id);
  }
  return accepted;
}
}  // namespace

TEST_GROUP(fullStores){};

/// Guards against the loss of accepted lots in the incident LOST: two of six stores failed while the others were full.
/// Each accepted lot has two intact copies left and must become readable again.
TEST(fullStores, acceptedLotsAreReadableAfterTheTolerableLosses) {
  StoreFleet fleet("/tmp/tealshelf-full-stores", 6, 2, 17760);
  vector<string> const accepted = fillWithLots(fleet);
  CHECK(accepted.size() > 5);
  fleet.halt(0);
  fleet.halt(1);
  for (string const& id : accepted) {
    bool const readable = fleet.runUntil([&] { return fleet.isReadable(id); }, Ms(20000));
    CHECK_TEXT(readable, (id + " of " + std::to_string(accepted.size()) + " can't be read").c_str());
  }
}

/// More stores fail at once than the fleet must survive. Lots may be unavailable, but all are readable once the stores
/// are back.
TEST(fullStores, acceptedLotsAreReadableOnceStoresReturnAfterTooManyLosses) {
  StoreFleet fleet("/tmp/tealshelf-full-stores-2", 6, 2, 17780);
  vector<string> const accepted = fillWithLots(fleet);
  for (std::size_t const store : {0, 1, 2, 3}) fleet.halt(store);
  fleet.runUntil([] { return false; }, Ms(4000));
  for (std::size_t const store : {0, 1, 2, 3}) fleet.resume(store);
  for (string const& id : accepted) {
    bool const readable = fleet.runUntil([&] { return fleet.isReadable(id); }, Ms(20000));
    CHECK_TEXT(readable, (id + " of " + std::to_string(accepted.size()) + " can't be read").c_str());
  }
}
