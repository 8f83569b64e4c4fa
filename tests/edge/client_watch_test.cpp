#include "edge/client_watch.hpp"

#include "tests/traffic/worker_stand_in.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
Script const silentWorker{"", true, "", Script::End::silent, ""};

string requestTo(string const& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id1\r\nContent-Length: 1\r\n\r\nb";
}

/// A client whose request waits at a silent worker.
struct WaitingClient {
  explicit WaitingClient(string const& path) : rig(silentWorker), socket(rig.io) {
    CHECK(rig.prime());
    socket.connect({asio::ip::make_address(rig.ip), 17680});
    asio::write(socket, asio::buffer(requestTo(path)));
    until([this] { return rig.sends() == 1; });
  }
  /// Waits less than the route's time limit, at which the worker's connection ends in any case.
  void until(std::function<bool()> const& done) {
    TimePoint const end = Clock::now() + Ms(1000);
    while (!done() && Clock::now() < end) rig.run(Ms(2));
    CHECK(done());
  }
  std::size_t connectionsOfWorkers() const { return rig.workers[0].connections() + rig.workers[1].connections(); }

  EdgeRig rig;
  tcp::socket socket;
};
}  // namespace

TEST_GROUP(clientWatch){};

TEST(clientWatch, detectsThatTheClientCloses) {
  asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  tcp::socket client(io);
  client.connect(acceptor.local_endpoint());
  tcp::socket served = acceptor.accept();
  ClientWatch watch(served);
  int calls = 0;
  watch.onDisconnect([&calls] { ++calls; });
  io.poll();
  CHECK_FALSE(watch.clientDisconnected());
  client.close();
  io.restart();
  io.run_one_for(Ms(1000));
  CHECK(watch.clientDisconnected());
  LONGS_EQUAL(1, calls);
}
TEST(clientWatch, leavesPipelinedBytesUnread) {
  asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  tcp::socket client(io);
  client.connect(acceptor.local_endpoint());
  tcp::socket served = acceptor.accept();
  ClientWatch watch(served);
  asio::write(client, asio::buffer("next", 4));
  io.run_one_for(Ms(1000));
  CHECK_FALSE(watch.clientDisconnected());
  LONGS_EQUAL(4, served.available());
}
/// A repeatable request is cancelled at its worker and not retried at another.
TEST(clientWatch, aRepeatableRequestIsCancelledWithItsClient) {
  WaitingClient client("/again/x");
  std::size_t const connections = client.connectionsOfWorkers();
  client.socket.close();
  client.until([&] { return client.connectionsOfWorkers() < connections; });
  client.rig.run(Ms(50));
  LONGS_EQUAL(1, client.rig.sends());
}
TEST(clientWatch, aStreamIsCancelledWithItsClient) {
  WaitingClient client("/streaming/x");
  std::size_t const connections = client.connectionsOfWorkers();
  client.socket.close();
  client.until([&] { return client.connectionsOfWorkers() < connections; });
  client.rig.run(Ms(50));
  LONGS_EQUAL(1, client.rig.sends());
}
/// A non-repeatable request runs to its end: the client may have half-closed its connection only.
TEST(clientWatch, aNonRepeatableRequestContinuesWithoutItsClient) {
  WaitingClient client("/once/x");
  std::size_t const connections = client.connectionsOfWorkers();
  client.socket.close();
  client.rig.run(Ms(100));
  LONGS_EQUAL(connections, client.connectionsOfWorkers());
  LONGS_EQUAL(1, client.rig.sends());
}
