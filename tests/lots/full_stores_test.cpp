#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
constexpr std::size_t largeLotBytes = 150u << 10;
constexpr int lotsAtMost = 40;

/// Hands lots in until stores with small disks take no more; gives those that were accepted.
vector<string> fill(StoreFleet& fleet) {
  vector<string> accepted;
  fleet.runUntil([&fleet] { return fleet.submit("first", largeLotBytes) == 0; }, Ms(20000));
  accepted.emplace_back("first");
  for (int number = 0; number < lotsAtMost; ++number) {
    string const id = "lot-" + std::to_string(number);
    if (fleet.submit(id, largeLotBytes) == 0) accepted.push_back(id);
  }
  return accepted;
}
}  // namespace

TEST_GROUP(fullStores){};

/// The incident LOST: two of six stores are lost while the others are full. Each accepted lot has two intact copies
/// left, and must be readable again.
TEST(fullStores, anAcceptedLotIsReadableAfterTheLossThatMustBeSurvived) {
  StoreFleet fleet("/tmp/tealshelf-full-stores", 6, 2, 17760);
  vector<string> const accepted = fill(fleet);
  CHECK(accepted.size() > 5);
  fleet.halt(0);
  fleet.halt(1);
  for (string const& id : accepted) {
    bool const readable = fleet.runUntil([&] { return fleet.isReadable(id); }, Ms(20000));
    CHECK_TEXT(readable, (id + " of " + std::to_string(accepted.size()) + " can't be read").c_str());
  }
}

/// Losses that overlap beyond what must be survived: service may rest, but nothing is lost once the stores are back.
TEST(fullStores, anAcceptedLotIsReadableAgainAfterTooManyLosses) {
  StoreFleet fleet("/tmp/tealshelf-full-stores-2", 6, 2, 17780);
  vector<string> const accepted = fill(fleet);
  for (std::size_t const store : {0, 1, 2, 3}) fleet.halt(store);
  fleet.runUntil([] { return false; }, Ms(4000));
  for (std::size_t const store : {0, 1, 2, 3}) fleet.resume(store);
  for (string const& id : accepted) {
    bool const readable = fleet.runUntil([&] { return fleet.isReadable(id); }, Ms(20000));
    CHECK_TEXT(readable, (id + " of " + std::to_string(accepted.size()) + " can't be read").c_str());
  }
}
