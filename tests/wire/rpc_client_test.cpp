#include "wire/frames.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;
using namespace tealshelf::wire;

namespace {
constexpr RpcMethod method = RpcMethod::hello;
string reply(std::uint64_t id, string const& body) {
  return encodeFrame(id, RpcMethod(), FrameKind::reply, body);
}

/// A peer that reads the hello and one call on each connection and answers with fixed bytes; may then close it.
class FakePeer {
 public:
  FakePeer(asio::io_context& io, Address const& at, vector<string> answers, bool ends)
      : acceptor_(io, {asio::ip::make_address(at.ip), static_cast<std::uint16_t>(at.port)}),
        answers_(std::move(answers)),
        ends_(ends) {
    spawnTask(io, "fake peer", serve());
  }
  std::size_t connections = 0;
  bool helloWithCall = true;  ///< each call arrived with its hello, before any answer

 private:
  Task<void> serve() {
    for (string const& answer : answers_) {
      tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
      ++connections;
      FrameReader reader;
      FrameHeader header;
      string body;
      bool ok = co_await reader.next(socket, header, body);
      helloWithCall = helloWithCall && ok && header.kind == FrameKind::hello;
      ok = co_await reader.next(socket, header, body);
      helloWithCall = helloWithCall && ok && header.kind == FrameKind::call;
      co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
      if (!ends_) open_.push_back(std::move(socket));
    }
  }
  tcp::acceptor acceptor_;
  vector<string> answers_;
  bool ends_;
  vector<tcp::socket> open_;
};

/// Forwards bytes between two sockets; simulates an address that another process took over.
Task<void> forwardBytes(tcp::socket& from, tcp::socket& to) {
  char b[4096];
  for (error_code e; !e;) {
    std::size_t const n = co_await from.async_read_some(asio::buffer(b), asio::redirect_error(asio::use_awaitable, e));
    if (!e) co_await asio::async_write(to, asio::buffer(b, n), asio::redirect_error(asio::use_awaitable, e));
  }
}
}  // namespace

TEST_GROUP(rpcClient) {
  asio::io_context io{1};
  Address const at{"127.0.0.79", 17691}, elsewhere{"127.0.0.79", 17692};
  Ms const silence{2000};
  struct CallResult {
    int code = -1;  ///< 0: a reply arrived; -1: the call is pending
    string body;
  };
  std::shared_ptr<CallResult> start(RpcClient & rpc, Address const& to, string body, Ms limit = Ms(1500)) {
    std::shared_ptr<CallResult> const end = std::make_shared<CallResult>();
    asio::co_spawn(io, rpc.callRaw(to, method, std::move(body), limit), [end](std::exception_ptr failure, string text) {
      end->code = 0;
      end->body = std::move(text);
      try {
        if (failure) std::rethrow_exception(failure);
      } catch (Error const& error) {
        end->code = static_cast<int>(error.code());
      }
    });
    return end;
  }
  void runUntil(std::function<bool()> const& condition) {
    TimePoint const until = Clock::now() + Ms(5000);
    while (!condition() && Clock::now() < until) {
      io.restart();
      io.run_one_for(Ms(20));
    }
  }
  CallResult call(RpcClient & rpc, Address const& to, string body, Ms limit = Ms(1500)) {
    std::shared_ptr<CallResult> const end = start(rpc, to, std::move(body), limit);
    runUntil([&] { return end->code >= 0; });
    return *end;
  }
  string welcome(Address const& self, std::uint32_t version = protocolVersion) {
    return encodeFrame(0, RpcMethod(), FrameKind::welcome, serialize(ConnectionWelcome{version, self, 7, "z"}));
  }
  void echo(RpcServer & server, std::size_t & handled) {
    server.onRaw(method, [&handled](string b) -> Task<string> {
      ++handled;
      if (b == "throw") throw std::runtime_error("an exception that is no Error");
      if (b == "wait") co_await sleepFor(Ms(3000));
      co_return b;
    });
    server.start();
  }
};

TEST(rpcClient, anyAnswerOfAPeerEndsTheCallWithItsErrorCode) {
  struct Row {
    char const* name;
    string answer;
    ErrorCode code;
  };
  string const oldVersionError =
      encodeFrame(0, RpcMethod(), FrameKind::error, serialize(WireError{static_cast<int>(ErrorCode::badMessage), "x"}));
  for (Row const& row : vector<Row>{
           {"another version", welcome(at, protocolVersion + 1) + reply(1, "a"), ErrorCode::protocolMismatch},
           {"an old version", oldVersionError, ErrorCode::protocolMismatch},
           {"no welcome", reply(1, "a"), ErrorCode::protocolMismatch},
           {"another process", welcome(elsewhere) + reply(1, "a"), ErrorCode::wrongProcess},
           {"a malformed welcome", encodeFrame(0, RpcMethod(), FrameKind::welcome, "\xc1"), ErrorCode::badMessage},
           {"a malformed error", welcome(at) + encodeFrame(1, RpcMethod(), FrameKind::error, "\xc1"),
            ErrorCode::badMessage},
           {"an unknown error",
            welcome(at) + encodeFrame(1, RpcMethod(), FrameKind::error, serialize(WireError{4711, "x"})),
            ErrorCode::callFailed},
           {"an unknown kind of frame", welcome(at) + encodeFrame(1, RpcMethod(), static_cast<FrameKind>(77), "a"),
            ErrorCode::connectionLost},
           {"a call in place of an answer", welcome(at) + encodeFrame(1, RpcMethod(), FrameKind::call, "a"),
            ErrorCode::connectionLost},
           {"an oversized frame", welcome(at) + string(15, '\xff'), ErrorCode::connectionLost},
           {"another's reply", welcome(at) + reply(2, "a") + string(15, '\xff'), ErrorCode::connectionLost}}) {
    FakePeer peer(io, at, {row.answer}, false);
    RpcClient rpc(io, silence);
    TimePoint const began = Clock::now();
    LONGS_EQUAL_TEXT(static_cast<int>(row.code), call(rpc, at, "q").code, row.name);
    CHECK_TEXT(Clock::now() - began < Ms(1000), row.name);
    CHECK_TEXT(peer.helloWithCall, "the handshake takes an extra round trip");
    io.restart();
    io.poll();
  }
}
TEST(rpcClient, aReplyToACallOfAnEarlierConnectionIsIgnored) {
  // The connection is lost during the first call; the reply to that call arrives on the next connection.
  FakePeer peer(io, at, {welcome(at), welcome(at) + reply(1, "old") + reply(2, "new")}, true);
  RpcClient rpc(io, silence);
  LONGS_EQUAL(static_cast<int>(ErrorCode::connectionLost), call(rpc, at, "first").code);
  CHECK(Error(ErrorCode::connectionLost).kind() == ErrorKind::undetermined);
  CallResult const second = call(rpc, at, "second");
  LONGS_EQUAL(0, second.code);
  STRCMP_EQUAL("new", second.body.c_str());
  LONGS_EQUAL(2, peer.connections);
}
TEST(rpcClient, aServerWithAnotherAddressRefusesBeforeHandlingCalls) {
  std::size_t handled = 0;
  RpcServer server(io, elsewhere, silence);
  echo(server, handled);
  tcp::acceptor front(io, {asio::ip::make_address(at.ip), static_cast<std::uint16_t>(at.port)});
  tcp::socket a(io), b(io);
  front.async_accept(a, [&](error_code) {
    b.connect({asio::ip::make_address(elsewhere.ip), static_cast<std::uint16_t>(elsewhere.port)});
    spawnTask(io, "forward to server", forwardBytes(a, b));
    spawnTask(io, "forward to client", forwardBytes(b, a));
  });
  RpcClient rpc(io, silence);
  LONGS_EQUAL(static_cast<int>(ErrorCode::wrongProcess), call(rpc, at, "q").code);
  LONGS_EQUAL(0, handled);
  LONGS_EQUAL(0, call(rpc, elsewhere, "q").code);
  LONGS_EQUAL(1, handled);
}
TEST(rpcClient, aServerRefusesWhateverIsNotAHelloOfItsVersion) {
  std::size_t handled = 0;
  RpcServer server(io, at, silence);
  echo(server, handled);
  string const q = encodeFrame(9, method, FrameKind::call, "q");
  string const other =
      encodeFrame(0, RpcMethod(), FrameKind::hello, serialize(ConnectionHello{protocolVersion + 1, at, 1, "z"}));
  for (string const& first :
       {q, other + q, encodeFrame(0, RpcMethod(), FrameKind::hello, "\xc1") + q, string(15, '\xff') + q}) {
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address(at.ip), static_cast<std::uint16_t>(at.port)});
    asio::write(socket, asio::buffer(first));
    socket.non_blocking(true);
    bool closed = false;
    char b[4096];
    runUntil([&] {
      error_code e;
      socket.read_some(asio::buffer(b), e);
      closed = e && e != asio::error::would_block;
      return closed;
    });
    CHECK(closed);
  }
  LONGS_EQUAL(0, handled);
}
TEST(rpcClient, aRestartedProcessHasAnotherProcessId) {
  RpcClient rpc(io, silence);
  {
    FakePeer peer(io, at, {welcome(at)}, true);
    LONGS_EQUAL(static_cast<int>(ErrorCode::connectionLost), call(rpc, at, "q").code);
    LONGS_EQUAL(7, rpc.processIdAt(at));
  }
  std::size_t handled = 0;
  RpcServer server(io, at, silence);
  echo(server, handled);
  LONGS_EQUAL(0, call(rpc, at, "q").code);
  CHECK(rpc.processIdAt(at) != 7 && rpc.processIdAt(at) != 0);
}
TEST(rpcClient, anUnknownExceptionEndsOnlyItsCall) {
  std::size_t handled = 0;
  RpcServer server(io, at, silence);
  echo(server, handled);
  RpcClient rpc(io, silence);
  for (int n = 0; n < 3; ++n) {
    LONGS_EQUAL(static_cast<int>(ErrorCode::callFailed), call(rpc, at, "throw").code);
    LONGS_EQUAL(0, call(rpc, at, "q").code);
  }
  CHECK(Error(ErrorCode::callFailed).kind() == ErrorKind::undetermined);
}
TEST(rpcClient, whatCallersSendIsBounded) {
  // A peer that accepts connections and never reads.
  tcp::acceptor unreadAcceptor(io, {asio::ip::make_address(at.ip), static_cast<std::uint16_t>(at.port)});
  RpcClient rpc(io, silence);
  vector<std::shared_ptr<CallResult>> results;
  for (int n = 0; n < 12; ++n) results.push_back(start(rpc, at, string(4u << 20, 'x'), Ms(300)));
  runUntil([&] {
    return std::all_of(results.begin(), results.end(),
                       [](std::shared_ptr<CallResult> const& e) { return e->code >= 0; });
  });
  std::size_t full = 0;
  for (std::shared_ptr<CallResult> const& e : results) full += e->code == static_cast<int>(ErrorCode::queueFull);
  CHECK_TEXT(full >= 7, "unsent calls to a peer that doesn't read are not bounded");
}
TEST(rpcClient, callsUnderWayAreBounded) {
  std::size_t handled = 0;
  RpcServer server(io, at, silence);
  echo(server, handled);
  RpcClient rpc(io, silence);
  vector<std::shared_ptr<CallResult>> results;
  for (int n = 0; n < 1100; ++n) results.push_back(start(rpc, at, "wait", Ms(1500)));
  std::size_t full = 0;
  runUntil([&] {
    full = 0;
    for (std::shared_ptr<CallResult> const& e : results) full += e->code == static_cast<int>(ErrorCode::queueFull);
    return full >= 76;
  });
  LONGS_EQUAL(76, full);
  LONGS_EQUAL(1024, handled);
}
TEST(rpcClient, whatWasNotSentInTimeIsNotSentLater) {
  // The first call fills the socket buffers, so that the second one is queued until its caller times out.
  tcp::acceptor acceptor(io, {asio::ip::make_address(at.ip), static_cast<std::uint16_t>(at.port)});
  RpcClient rpc(io, silence);
  std::shared_ptr<CallResult> const first = start(rpc, at, string(15u << 20, 'x'), Ms(4000));
  io.run_for(Ms(100));
  std::shared_ptr<CallResult> const second = start(rpc, at, "second", Ms(100));
  runUntil([&] { return second->code >= 0; });
  LONGS_EQUAL(static_cast<int>(ErrorCode::notConnected), second->code);
  CHECK_TEXT(Error(ErrorCode::notConnected).kind() == ErrorKind::rejected, "an unsent call must count as not run");
  tcp::socket socket(io);
  acceptor.accept(socket);
  socket.non_blocking(true);
  string all;
  vector<char> b(1u << 20);
  for (int idle = 0; idle < 10;) {
    error_code e;
    std::size_t const n = socket.read_some(asio::buffer(b), e);
    all.append(b.data(), n);
    idle = n ? 0 : idle + 1;
    io.restart();
    io.run_for(Ms(5));
  }
  CHECK(all.size() > (15u << 20));
  CHECK(all.find("second") == string::npos);
}
