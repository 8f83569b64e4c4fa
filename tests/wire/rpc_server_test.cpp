#include "updates/update_publisher.hpp"
#include "wire/overload_manager.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
/// An update server on loopback, with raw connections that can send arbitrary bytes.
struct UpdateServerFixture {
  UpdateServerFixture() : server(io, at, Ms(2000)), publisher(io, settings, 0), rpc(io, Ms(2000)) {
    publisher.proof = [] { return UpdatePublisher::Proof{true, 0, Clock::now()}; };
    publisher.setConfiguration(1, string(300000, 'c'));
    server.on<UpdateRequest>([this](UpdateRequest request) { return publisher.serve(std::move(request)); });
    server.start();
  }
  void run(Ms duration) {
    io.restart();
    io.run_for(duration);
  }
  /// Runs until a condition holds or 5 s have passed; returns whether it holds.
  bool until(std::function<bool()> const& condition) {
    TimePoint const end = Clock::now() + Ms(5000);
    while (!condition() && Clock::now() < end) run(Ms(5));
    return condition();
  }
  /// Opens a connection and sends the hello.
  tcp::socket connectRaw() {
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address(at.ip), static_cast<std::uint16_t>(at.port)});
    string const hello = serialize(ConnectionHello{protocolVersion, at, 1, "z"});
    asio::write(socket, asio::buffer(frameHeader(static_cast<std::uint32_t>(hello.size()), 0, 0, 4) + hello));
    return socket;
  }
  /// True if an ordinary request still gets a reply.
  bool serves() {
    bool ok = false;
    asio::co_spawn(io, rpc.call(at, UpdateRequest(), Ms(2000)), [&](std::exception_ptr failure, UpdateReply reply) {
      ok = !failure && reply.configurationVersion == 1;
    });
    return until([&] { return ok; });
  }
  static string frameHeader(std::uint32_t size, std::uint64_t id, std::uint16_t method, char kind) {
    string frame(15, '\0');
    std::memcpy(&frame[0], &size, 4);
    std::memcpy(&frame[4], &id, 8);
    std::memcpy(&frame[12], &method, 2);
    frame[14] = kind;
    return frame;
  }
  /// Waits until the server closes a raw connection; false on a timeout.
  bool closed(tcp::socket& socket) {
    socket.non_blocking(true);
    char b[65536];
    return until([&] {
      error_code error;
      socket.read_some(asio::buffer(b), error);
      return error && error != asio::error::would_block;
    });
  }
  asio::io_context io{1};
  Settings settings;
  Address at{"127.0.0.77", 17661};
  RpcServer server;
  UpdatePublisher publisher;
  RpcClient rpc;
};
}  // namespace

TEST_GROUP(rpcServer){};

TEST(rpcServer, anOversizedMessageEndsItsConnectionOnly) {
  UpdateServerFixture fixture;
  tcp::socket socket = fixture.connectRaw();
  asio::write(socket, asio::buffer(UpdateServerFixture::frameHeader(0xfffffff0u, 1, 6, 0)));
  CHECK(fixture.closed(socket));
  CHECK(fixture.serves());
}
TEST(rpcServer, aTruncatedMessageLeavesOtherConnectionsServed) {
  UpdateServerFixture fixture;
  string const frame = UpdateServerFixture::frameHeader(100, 1, 6, 0) + "only a part";
  for (std::size_t length = 1; length < frame.size(); length += 5) {
    tcp::socket socket = fixture.connectRaw();
    asio::write(socket, asio::buffer(frame.substr(0, length)));
    fixture.run(Ms(2));
  }
  CHECK(fixture.serves());
}
TEST(rpcServer, aMalformedBodyIsAnsweredWithAnError) {
  UpdateServerFixture fixture;
  for (string const& body : {string("\xc1"), string("\x93\x01"), string(40, '\xff'), string(),
                             serialize(string("a text")), serialize(vector<int>{7, 8})}) {
    tcp::socket socket = fixture.connectRaw();
    asio::write(socket, asio::buffer(
                            UpdateServerFixture::frameHeader(static_cast<std::uint32_t>(body.size()), 9, 6, 0) + body));
    string received;
    std::size_t welcome = 0;
    socket.non_blocking(true);
    CHECK(fixture.until([&] {
      error_code error;
      char buffer[256];
      received.append(buffer, socket.read_some(asio::buffer(buffer), error));
      if (received.size() >= 15) std::memcpy(&welcome, received.data(), 4);
      return received.size() >= 15 && received.size() >= 15 + welcome + 15;
    }));
    LONGS_EQUAL_TEXT(5, received[14], "the welcome comes first");
    LONGS_EQUAL_TEXT(2, received[15 + welcome + 14], "an error is the answer");
  }
  tcp::socket socket = fixture.connectRaw();
  asio::write(socket, asio::buffer(UpdateServerFixture::frameHeader(0, 1, 9999, 0)));
  fixture.run(Ms(20));
  CHECK(fixture.serves());
}
// Guards against a charge that stays after its call: idle connections used up the memory for other nodes, and lots
// failed.
TEST(rpcServer, aCallThatHasEndedHoldsNothing) {
  UpdateServerFixture fixture;
  std::size_t held = 0;
  fixture.server.onRaw(RpcMethod::createReplica, [&held](string body) -> Task<string> {
    held = overloadManager().bytes(PeerKind::node);
    co_return std::to_string(body.size());
  });
  bool ended = false;
  asio::co_spawn(fixture.io, fixture.rpc.callRaw(fixture.at, RpcMethod::createReplica, string(1u << 20, 'i'), Ms(2000)),
                 [&](std::exception_ptr, string) { ended = true; });
  CHECK(fixture.until([&] { return ended; }));
  CHECK_TEXT(held > 1u << 20, "the call holds its body");
  fixture.run(Ms(20));
  LONGS_EQUAL(0, overloadManager().bytes(PeerKind::node));
}
TEST(rpcServer, anUnsupportedUpdateFormatIsRefused) {
  UpdateServerFixture fixture;
  UpdateRequest request;
  request.format = updateFormat + 1;
  int code = 0;
  asio::co_spawn(fixture.io, fixture.rpc.call(fixture.at, request, Ms(2000)),
                 [&](std::exception_ptr failure, UpdateReply) {
                   try {
                     if (failure) std::rethrow_exception(failure);
                   } catch (Error const& thrown) {
                     code = static_cast<int>(thrown.code());
                   }
                 });
  CHECK(fixture.until([&] { return code != 0; }));
  LONGS_EQUAL(static_cast<int>(ErrorCode::badMessage), code);
}
TEST(rpcServer, aPeerThatCallsWithoutReadingIsDisconnected) {
  UpdateServerFixture fixture;
  tcp::socket socket = fixture.connectRaw();
  socket.non_blocking(true);
  string const body = serialize(UpdateRequest()),
               frame = UpdateServerFixture::frameHeader(static_cast<std::uint32_t>(body.size()), 5, 6, 0) + body;
  // Each reply has 300 kB; the server queues up to 8 MB, and the socket buffers hold some more.
  bool disconnected = false;
  for (int count = 0; count < 4000 && !disconnected; ++count) {
    error_code error;
    socket.write_some(asio::buffer(frame), error);
    disconnected = error && error != asio::error::would_block;
    fixture.run(Ms(1));
  }
  CHECK_TEXT(disconnected, "replies to a peer that doesn't read are not bounded");
  CHECK(fixture.serves());
}
