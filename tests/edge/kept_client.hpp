#pragma once
#include "tests/traffic/worker_stand_in.hpp"

namespace tealshelf {

/// A client with a persistent connection to the edge node of a rig. It writes at once, whether the node runs or not, so
/// that a test can send a request just before another event.
class KeptClient {
 public:
  explicit KeptClient(EdgeRig& rig) : rig_(rig), socket_(rig.io) {
    socket_.connect(rig.outside());
    socket_.non_blocking(true);
    rig_.run(Ms(5));
  }
  /// Writes bytes; false if that fails.
  bool send(string_view bytes) {
    error_code error;
    asio::write(socket_, asio::buffer(bytes.data(), bytes.size()), error);
    return !error;
  }
  /// Half-closes the connection: ends sending, but continues to read.
  void endSending() { socket_.shutdown(tcp::socket::shutdown_send); }
  /// Runs the rig until the next answer is complete or the connection has ended. `toHead`: the answer is to a HEAD
  /// request and has no body.
  Got answer(bool toHead = false, Ms limit = Ms(3000)) {
    TimePoint const end = Clock::now() + limit;
    Got got;
    while (!got.closed && Clock::now() < end) {
      takeBytes(got);
      bool const whole = takeAnswer(got, toHead);
      if (whole) return got;
      rig_.run(Ms(5));
    }
    got.raw = received_;
    return got;
  }
  /// Runs the rig until the connection has ended; false if it doesn't end or bytes arrived before.
  bool endsWithout(Ms limit = Ms(3000)) {
    Got const got = answer(false, limit);
    return got.closed && got.raw.empty();
  }
  /// Bytes received after the last complete answer.
  string const& unread() const { return received_; }

 private:
  void takeBytes(Got& got) {
    char piece[65536];
    error_code error;
    while (!error) {
      std::size_t const count = socket_.read_some(asio::buffer(piece), error);
      received_.append(piece, count);
    }
    got.closed = error != asio::error::would_block;
  }
  bool takeAnswer(Got& got, bool toHead) {
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.skip(toHead);
    error_code error;
    std::size_t const used = parser.put(asio::buffer(received_), error);
    if (error || !parser.is_done()) return false;
    got.status = static_cast<int>(parser.get().result_int());
    got.body = parser.get().body();
    got.raw = received_.substr(0, used);
    received_.erase(0, used);
    return true;
  }

  EdgeRig& rig_;
  tcp::socket socket_;
  string received_;
};

/// The text of a request, with additional header lines and a body.
inline string requestText(string const& verb, string const& path, string const& id, string const& body = "",
                          string const& more = "") {
  string text = verb + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id + "\r\n" + more;
  if (!body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

}  // namespace tealshelf
