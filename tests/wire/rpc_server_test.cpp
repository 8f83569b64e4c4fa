#include "updates/update_publisher.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
/// A server of updates on loopback, and a raw peer that may say anything.
struct Loop {
  Loop() : server(io, at, Ms(2000)), publisher(io, settings, 0), rpc(io, Ms(2000)) {
    publisher.proof = [] { return UpdatePublisher::Proof{true, 0, Clock::now()}; };
    publisher.setConfiguration(1, string(300000, 'c'));
    server.on<UpdateRequest>([this](UpdateRequest q) { return publisher.serve(std::move(q)); });
    server.start();
  }
  void run(Ms d) {
    io.restart();
    io.run_for(d);
  }
  /// Runs until something holds, within a limit.
  bool until(std::function<bool()> const& f) {
    TimePoint const end = Clock::now() + Ms(5000);
    while (!f() && Clock::now() < end) run(Ms(5));
    return f();
  }
  /// A connection on which the hello was sent, as every connection begins.
  tcp::socket raw() {
    tcp::socket s(io);
    s.connect({asio::ip::make_address(at.ip), static_cast<std::uint16_t>(at.port)});
    string const hello = serialize(ConnectionHello{protocolVersion, at, 1, "z"});
    asio::write(s, asio::buffer(head(static_cast<std::uint32_t>(hello.size()), 0, 0, 4) + hello));
    return s;
  }
  /// True if an ordinary ask is still answered.
  bool serves() {
    bool ok = false;
    asio::co_spawn(io, rpc.call(at, UpdateRequest(), Ms(2000)),
                   [&](std::exception_ptr p, UpdateReply r) { ok = !p && r.configurationVersion == 1; });
    return until([&] { return ok; });
  }
  static string head(std::uint32_t size, std::uint64_t id, std::uint16_t method, char sort) {
    string f(15, '\0');
    std::memcpy(&f[0], &size, 4);
    std::memcpy(&f[4], &id, 8);
    std::memcpy(&f[12], &method, 2);
    f[14] = sort;
    return f;
  }
  /// True once the server has closed a raw connection.
  bool closed(tcp::socket& s) {
    s.non_blocking(true);
    char b[65536];
    return until([&] {
      error_code e;
      s.read_some(asio::buffer(b), e);
      return e && e != asio::error::would_block;
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
  Loop l;
  tcp::socket s = l.raw();
  asio::write(s, asio::buffer(Loop::head(0xfffffff0u, 1, 6, 0)));
  CHECK(l.closed(s));
  CHECK(l.serves());
}
TEST(rpcServer, aTruncatedMessageLeavesOtherConnectionsServed) {
  Loop l;
  string const f = Loop::head(100, 1, 6, 0) + "only a part";
  for (std::size_t n = 1; n < f.size(); n += 5) {
    tcp::socket s = l.raw();
    asio::write(s, asio::buffer(f.substr(0, n)));
    l.run(Ms(2));
  }
  CHECK(l.serves());
}
TEST(rpcServer, aMalformedBodyIsAnsweredWithAnError) {
  Loop l;
  for (string const& body : {string("\xc1"), string("\x93\x01"), string(40, '\xff'), string(),
                             serialize(string("a text")), serialize(vector<int>{7, 8})}) {
    tcp::socket s = l.raw();
    asio::write(s, asio::buffer(Loop::head(static_cast<std::uint32_t>(body.size()), 9, 6, 0) + body));
    string got;
    std::size_t welcome = 0;
    s.non_blocking(true);
    CHECK(l.until([&] {
      error_code e;
      char h[256];
      got.append(h, s.read_some(asio::buffer(h), e));
      if (got.size() >= 15) std::memcpy(&welcome, got.data(), 4);
      return got.size() >= 15 && got.size() >= 15 + welcome + 15;
    }));
    LONGS_EQUAL_TEXT(5, got[14], "the welcome comes first");
    LONGS_EQUAL_TEXT(2, got[15 + welcome + 14], "an error is the answer");
  }
  tcp::socket s = l.raw();
  asio::write(s, asio::buffer(Loop::head(0, 1, 9999, 0)));
  l.run(Ms(20));
  CHECK(l.serves());
}
TEST(rpcServer, anUnsupportedUpdateFormatIsRefused) {
  Loop l;
  UpdateRequest q;
  q.format = updateFormat + 1;
  int code = 0;
  asio::co_spawn(l.io, l.rpc.call(l.at, q, Ms(2000)), [&](std::exception_ptr p, UpdateReply) {
    try {
      if (p) std::rethrow_exception(p);
    } catch (Error const& x) {
      code = static_cast<int>(x.code());
    }
  });
  CHECK(l.until([&] { return code != 0; }));
  LONGS_EQUAL(static_cast<int>(ErrorCode::badMessage), code);
}
TEST(rpcServer, aPeerThatCallsWithoutReadingIsDisconnected) {
  Loop l;
  tcp::socket s = l.raw();
  s.non_blocking(true);
  string const body = serialize(UpdateRequest()),
               f = Loop::head(static_cast<std::uint32_t>(body.size()), 5, 6, 0) + body;
  // Each answer has 300 kB; the server may keep 8 MB of them, and the sockets some more.
  bool cut = false;
  for (int k = 0; k < 4000 && !cut; ++k) {
    error_code e;
    s.write_some(asio::buffer(f), e);
    cut = e && e != asio::error::would_block;
    l.run(Ms(1));
  }
  CHECK_TEXT(cut, "a peer that doesn't read costs memory without bound");
  CHECK(l.serves());
}
