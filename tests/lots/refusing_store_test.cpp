#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
constexpr int refusingStorePort = 17840;
constexpr std::size_t copiedBytes = 30u << 10;
constexpr int lots = 12;

string fillerName(std::size_t number) {
  return "filler-" + std::to_string(number);
}
}  // namespace

TEST_GROUP(refusingStore){};

/// One of four stores is full and another one is lost: the two that remain have room. Each lot gets its second copy
/// there, even if the full store comes first in its rendezvous order.
TEST(refusingStore, aCopyThatOneStoreRefusesGoesToAnother) {
  StoreFleet fleet("/tmp/tealshelf-refusing-store", 4, 1, refusingStorePort);
  CHECK(fleet.runUntil([&fleet] { return fleet.submit("first", 1000) == 0; }, Ms(20000)));
  std::size_t number = 0;
  // Fills the store with ever smaller replicas until it refuses even a small one.
  for (std::size_t bytes = 256u << 10; bytes >= 8u << 10; bytes /= 2)
    while (fleet.putFiller(3, bytes, 1, fillerName(++number))) {
    }
  // Fills the others so far that no spare copies are made.
  for (std::size_t store = 0; store < 3; ++store)
    for (int part = 0; part < 4; ++part) CHECK(fleet.putFiller(store, 256u << 10, 1, fillerName(++number)));
  fleet.runUntil([] { return false; }, Ms(1000));
  vector<string> accepted;
  for (int lot = 0; lot < lots; ++lot) {
    string const id = "lot-" + std::to_string(lot);
    if (fleet.submit(id, copiedBytes) == 0) accepted.push_back(id);
  }
  CHECK(accepted.size() > lots / 2);
  fleet.halt(0);
  for (string const& id : accepted) {
    auto const hasTwoLiveHolders = [&] {
      std::optional<LotRecord> const lot = fleet.find(id);
      return lot && lot->holders.size() >= 2 &&
             std::none_of(lot->holders.begin(), lot->holders.end(),
                          [](StoreRef const& holder) { return holder.name == "store-0"; });
    };
    bool const recovered = fleet.runUntil([&] { return fleet.isReadable(id) && hasTwoLiveHolders(); }, Ms(12000));
    CHECK_TEXT(recovered, (id + " of " + std::to_string(accepted.size()) + " is not recovered").c_str());
  }
}
