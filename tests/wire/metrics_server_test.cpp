#include "wire/metrics_server.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
HttpCall callOf(string verb, string path) {
  return HttpCall{std::move(verb), std::move(path), "", {}};
}
}  // namespace

TEST_GROUP(metricsServer) {
  Metrics figures;
  asio::io_context io;
};

TEST(metricsServer, answersWithTheTextOfTheMetrics) {
  figures.counter("teal_made_total", "What was made.").increment();
  HttpReply const reply = MetricsServer::answer(callOf("GET", "/metrics"), figures);
  LONGS_EQUAL(200, reply.status);
  CHECK(reply.contentType.starts_with("text/plain"));
  STRCMP_EQUAL(figures.text().c_str(), reply.body.c_str());
}
TEST(metricsServer, refusesOtherCalls) {
  CHECK_THROWS(Error, MetricsServer::answer(callOf("GET", "/"), figures));
  CHECK_THROWS(Error, MetricsServer::answer(callOf("POST", "/metrics"), figures));
}
TEST(metricsServer, startsWithoutServingIfThePortIsTaken) {
  tcp::acceptor const taken(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  Address const address{"127.0.0.1", taken.local_endpoint().port()};
  MetricsServer const server(io, address, Ms(1000), figures);
  CHECK_FALSE(server.isServing());
}
TEST(metricsServer, servesOverHttp) {
  figures.gauge("teal_level", "The level.").set(7);
  // A port that was free a moment ago.
  tcp::endpoint const endpoint = tcp::acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)).local_endpoint();
  MetricsServer const server(io, Address{endpoint.address().to_string(), endpoint.port()}, Ms(1000), figures);
  CHECK(server.isServing());
  http::response<http::string_body> response;
  spawnTask(io, "client", [](tcp::endpoint to, http::response<http::string_body>& result) -> Task<void> {
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(to, asio::use_awaitable);
    http::request<http::empty_body> request(http::verb::get, string(metricsPath), 11);
    co_await http::async_write(socket, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    co_await http::async_read(socket, buffer, result, asio::use_awaitable);
  }(endpoint, response));
  while (response.body().empty() && io.run_one_for(Ms(5000))) continue;
  LONGS_EQUAL(200, response.result_int());
  CHECK(response.body().find("teal_level 7") != string::npos);
}
