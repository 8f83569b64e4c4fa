#include "tests/processes/blocking_http.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tealshelf {

namespace {
constexpr int backlog = 256;

sockaddr_in socketAddress(Address const& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

bool readMore(int socket, string& unread) {
  char bytes[16384];
  ssize_t const count = ::recv(socket, bytes, sizeof bytes, 0);
  if (count <= 0) return false;
  unread.append(bytes, static_cast<std::size_t>(count));
  return true;
}
}  // namespace

int connectBlocking(Address const& to, Ms limit) {
  int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval const wait{limit.count() / 1000, limit.count() % 1000 * 1000};
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
  int const on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in const address = socketAddress(to);
  if (::connect(socket, reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0) return socket;
  ::close(socket);
  return -1;
}

int listenBlocking(Address const& at) {
  int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in const address = socketAddress(at);
  bool const bound = ::bind(socket, reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0;
  if (!bound || ::listen(socket, backlog)) throw std::runtime_error("can't listen at " + at.text());
  return socket;
}

bool sendAll(int socket, string_view bytes) {
  while (!bytes.empty()) {
    ssize_t const count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool readMessage(int socket, string& unread, string& head, string& body) {
  std::size_t end = 0;
  while ((end = unread.find("\r\n\r\n")) == string::npos)
    if (!readMore(socket, unread)) return false;
  head = unread.substr(0, end + 2);
  unread.erase(0, end + 4);
  std::size_t const length = std::strtoull(headerIn(head, "Content-Length").c_str(), nullptr, 10);
  while (unread.size() < length)
    if (!readMore(socket, unread)) return false;
  body = unread.substr(0, length);
  unread.erase(0, length);
  return true;
}

string headerIn(string const& head, string_view name) {
  std::size_t const found = lowerCase(head).find("\r\n" + lowerCase(string(name)) + ":");
  if (found == string::npos) return "";
  std::size_t const start = head.find_first_not_of(' ', found + 2 + name.size() + 1);
  return head.substr(start, head.find("\r\n", start) - start);
}

BlockingAnswer callBlocking(Address const& to, string_view request, Ms limit) {
  BlockingAnswer answer;
  int const socket = connectBlocking(to, limit);
  if (socket < 0) return answer;
  string unread, head;
  sendAll(socket, request);
  if (readMessage(socket, unread, head, answer.body) && head.size() > 12) answer.status = std::atoi(head.c_str() + 9);
  ::close(socket);
  return answer;
}

string requestText(string_view verb, string_view path, string_view headers, string_view body) {
  string text = string(verb) + " " + string(path) + " HTTP/1.1\r\n" + string(headers);
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + string(body);
}

}  // namespace tealshelf
