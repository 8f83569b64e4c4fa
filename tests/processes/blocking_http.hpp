#pragma once
#include "base/tealshelf.hpp"

/// A small blocking HTTP/1.1 client for tests with processes.
namespace tealshelf {

/// An answer; status 0 if none arrived.
struct BlockingAnswer {
  int status = 0;
  string body;
};

/// A socket that is connected to an address, or -1. Reads and writes on it end after `limit`.
int connectBlocking(Address const& to, Ms limit);
/// A listening socket; throws std::runtime_error if the address is taken.
int listenBlocking(Address const& at);
bool sendAll(int socket, string_view bytes);
/// Reads one message, a request or an answer; false if the connection ends before it is whole. `unread` keeps the bytes
/// behind it.
bool readMessage(int socket, string& unread, string& head, string& body);
/// The value of a header in a head; "" if it is missing.
string headerIn(string const& head, string_view name);
/// Sends a request on a new connection and reads its answer.
BlockingAnswer callBlocking(Address const& to, string_view request, Ms limit);
/// The text of a request with a length; `headers` end with line ends.
string requestText(string_view verb, string_view path, string_view headers, string_view body);

}  // namespace tealshelf
