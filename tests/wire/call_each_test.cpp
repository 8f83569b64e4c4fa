#include "wire/call_each.hpp"

#include "lots/messages.hpp"
#include "tests/wire/loopback.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr int callEachPort = 18190;

using Outcomes = vector<CallOutcome<Acknowledgement>>;

/// A server that replies, one that fails, one that doesn't reply in time, and an address without a listener.
struct PeerServers {
  PeerServers() {
    for (RpcServer* const server : {&replying, &failing, &silent}) server->start();
    replying.on<FenceStore>([](FenceStore) -> Task<Acknowledgement> { co_return Acknowledgement{}; });
    failing.on<FenceStore>([](FenceStore) -> Task<Acknowledgement> {
      throw Error(ErrorCode::busy);
      co_return Acknowledgement{};
    });
    silent.on<FenceStore>([](FenceStore) -> Task<Acknowledgement> {
      co_await sleepFor(Ms(60000));
      co_return Acknowledgement{};
    });
  }
  Outcomes callAll(Ms limit, std::function<bool(Outcomes const&)> isEnough) {
    std::optional<Outcomes> outcomes;
    vector<Address> const addresses{addressOf(0), addressOf(1), addressOf(2), addressOf(3)};
    asio::co_spawn(io, callEach(io, rpc, addresses, FenceStore{NodeId(1)}, limit, std::move(isEnough)),
                   [&outcomes](std::exception_ptr, Outcomes result) { outcomes = std::move(result); });
    while (!outcomes) io.run_one();
    return *outcomes;
  }
  Address addressOf(int number) const { return {ip, callEachPort + number}; }

  string ip = loopbackOfThisProcess();
  asio::io_context io{1};
  RpcServer replying{io, addressOf(0), Ms(1000)}, failing{io, addressOf(1), Ms(1000)},
      silent{io, addressOf(2), Ms(1000)};
  RpcClient rpc{io, Ms(1000)};
};
}  // namespace

TEST_GROUP(callEach){};

TEST(callEach, outcomesComeInTheOrderOfTheAddresses) {
  PeerServers peers;
  Outcomes const outcomes = peers.callAll(Ms(200), nullptr);
  LONGS_EQUAL(4, outcomes.size());
  CHECK(outcomes[0].reply.has_value());
  CHECK(!outcomes[1].reply && !outcomes[1].error.empty());
  CHECK(!outcomes[2].reply && !outcomes[2].error.empty());
  CHECK(!outcomes[3].reply && !outcomes[3].error.empty());
}
TEST(callEach, aSilentProcessIsNotAwaitedOnceTheOthersSuffice) {
  PeerServers peers;
  auto const hasOne = [](Outcomes const& outcomes) { return outcomes[0].reply.has_value(); };
  Outcomes const outcomes = peers.callAll(Ms(60000), hasOne);
  CHECK(outcomes[0].reply.has_value());
  CHECK(!outcomes[2].reply && outcomes[2].error.empty());
}
