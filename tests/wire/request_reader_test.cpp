// What an HTTP server of this process reads of a peer's request, and how it refuses the rest.
#include "tests/wire/loopback.hpp"
#include "wire/http.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr std::uint64_t maxReaderBody = 100'000;
string const readerChunkedHead = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/// An HTTP server that answers with the length of the body, and a client of it.
struct ReaderRig {
  explicit ReaderRig(PeerLimits const& limits = {}) {
    overloadManager().setLimits(limits);
    server.start();
    connect();
  }
  ~ReaderRig() { overloadManager().setLimits(PeerLimits()); }
  void connect() {
    client.emplace(io);
    client->connect(endpointOf(at));
    client->non_blocking(true);
    run(Ms(10));
  }
  void run(Ms duration) {
    io.restart();
    io.run_for(duration);
  }
  void send(string_view bytes) {
    TimePoint const end = Clock::now() + Ms(3000);
    while (!bytes.empty() && Clock::now() < end) {
      error_code error;
      bytes.remove_prefix(client->write_some(asio::buffer(bytes.data(), bytes.size()), error));
      run(Ms(1));
      if (error && error != asio::error::would_block) return;
    }
  }
  /// The status of the next answer; 0 if none arrives within 3 s.
  int status() {
    TimePoint const end = Clock::now() + Ms(3000);
    while (Clock::now() < end) {
      char bytes[4096];
      error_code error;
      received.append(bytes, client->read_some(asio::buffer(bytes), error));
      http::response_parser<http::string_body> parser;
      parser.eager(true);
      error_code parsing;
      std::size_t const used = parser.put(asio::buffer(received), parsing);
      if (parser.is_done()) {
        received.erase(0, used);
        body = parser.get().body();
        return static_cast<int>(parser.get().result_int());
      }
      run(Ms(2));
    }
    return 0;
  }
  std::size_t held() const { return overloadManager().bytes(PeerKind::client); }
  asio::io_context io{1};
  Address at{loopbackOfThisProcess(), 17671};
  HttpServer server{io, at,
                    [](HttpCall call) -> Task<HttpReply> {
                      co_return HttpReply{200, std::to_string(call.body.size()), "text/plain", {}};
                    },
                    maxReaderBody, Ms(5000)};
  std::optional<tcp::socket> client;
  string received, body;
};

PeerLimits limitsOfBytes(std::size_t bytes) {
  PeerLimits limits;
  limits.byKind[static_cast<std::size_t>(PeerKind::client)].bytes = bytes;
  return limits;
}
}  // namespace

TEST_GROUP(requestReader){};

TEST(requestReader, readsBodiesOfEachForm) {
  ReaderRig rig;
  rig.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello");
  LONGS_EQUAL(200, rig.status());
  STRCMP_EQUAL("5", rig.body.c_str());
  rig.send(readerChunkedHead + "3;a=b\r\nabc\r\n4\r\ndefg\r\n0\r\nX-Sum: 7\r\n\r\n");
  LONGS_EQUAL(200, rig.status());
  STRCMP_EQUAL("7", rig.body.c_str());
  rig.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n");
  LONGS_EQUAL(200, rig.status());
  LONGS_EQUAL(200, rig.status());
  LONGS_EQUAL(0, rig.held());
}
TEST(requestReader, readsARequestByteByByte) {
  ReaderRig rig;
  string const request = readerChunkedHead + "3\r\nabc\r\n0\r\nX-Sum: 7\r\n\r\n";
  for (char const byte : request) rig.send(string_view(&byte, 1));
  LONGS_EQUAL(200, rig.status());
}
TEST(requestReader, asksAClientThatWaitsForItsBody) {
  ReaderRig rig;
  rig.send("POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
  LONGS_EQUAL(100, rig.status());
  rig.send("hello");
  LONGS_EQUAL(200, rig.status());
}
TEST(requestReader, refusesLinesWithoutEnd) {
  for (string const& opening : {readerChunkedHead + "3", readerChunkedHead + "3\r\nabc\r\n0\r\nX-Sum: "}) {
    ReaderRig rig;
    rig.send(opening);
    rig.send(string(200'000, '0'));
    LONGS_EQUAL(431, rig.status());
  }
}
TEST(requestReader, refusesBodiesOverTheLimit) {
  ReaderRig rig;
  rig.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n\r\n");
  LONGS_EQUAL(413, rig.status());
  rig.connect();
  rig.received.clear();
  string const chunk = "400\r\n" + string(1024, 'b') + "\r\n";
  string chunks;
  while (chunks.size() < 3 * maxReaderBody / 2) chunks += chunk;
  rig.send(readerChunkedHead + chunks);
  LONGS_EQUAL(413, rig.status());
}
TEST(requestReader, holdsOnlyWhatHasArrived) {
  ReaderRig rig;
  rig.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nhello");
  rig.run(Ms(20));
  CHECK(rig.held() > 0);
  CHECK(rig.held() < 1000);
}
TEST(requestReader, countsTheFieldsOfAHead) {
  ReaderRig rig;
  string fields;
  for (int count = 0; count < 1000; ++count) fields += "a:\r\n";
  rig.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n" + fields + "\r\n");
  rig.run(Ms(20));
  CHECK_TEXT(rig.held() > 64'000, "each field takes more than its four bytes");
}
TEST(requestReader, refusesARequestForWhichThereIsNoRoom) {
  ReaderRig rig(limitsOfBytes(20'000));
  rig.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + string(50'000, 'b'));
  LONGS_EQUAL(503, rig.status());
  LONGS_EQUAL(0, rig.held());
}
TEST(requestReader, aRequestThatStaysShortOfItsEndGivesWay) {
  ReaderRig rig(limitsOfBytes(60'000));
  rig.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + string(50'000, 'b'));
  rig.run(Ms(50));
  tcp::socket stuck = std::move(*rig.client);
  rig.connect();
  rig.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 15000\r\n\r\n" + string(15'000, 'b'));
  LONGS_EQUAL(200, rig.status());
  rig.client = std::move(stuck);
  LONGS_EQUAL(503, rig.status());
}
TEST(requestReader, aSilentConnectionGivesWayToAnother) {
  PeerLimits limits;
  limits.byKind[0].connections = 1;
  ReaderRig rig(limits);
  tcp::socket silent = std::move(*rig.client);
  rig.connect();
  rig.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  LONGS_EQUAL(200, rig.status());
  char byte = 0;
  error_code error;
  silent.read_some(asio::buffer(&byte, 1), error);
  CHECK_TEXT(error == asio::error::eof, "it was closed");
}
