// A small blocking HTTP/1.1 layer for the stand-ins of the review.
#pragma once
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::string;

inline string lower(string text) {
  for (char& c : text) c = static_cast<char>(::tolower(static_cast<unsigned char>(c)));
  return text;
}

inline void setTimeout(int socket, int ms) {
  timeval const limit{ms / 1000, (ms % 1000) * 1000};
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  int const on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline sockaddr_in addressOf(string const& text) {
  std::size_t const colon = text.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

/// A connected socket, or -1.
inline int connectTo(string const& to, int limitMs) {
  int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setTimeout(socket, limitMs);
  sockaddr_in const address = addressOf(to);
  if (::connect(socket, reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0) return socket;
  ::close(socket);
  return -1;
}

/// A listening socket; ends the program if the address is taken.
inline int listenAt(string const& at) {
  int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in const address = addressOf(at);
  bool const bound = ::bind(socket, reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0;
  if (!bound || ::listen(socket, 256)) std::_Exit(2);
  return socket;
}

inline bool sendAll(int socket, string const& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t const count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

struct Message {
  string firstLine, body;
  std::vector<std::pair<string, string>> headers;  ///< names in lower case
  string header(string const& name) const {
    for (auto const& [known, value] : headers)
      if (known == name) return value;
    return "";
  }
  int status() const { return firstLine.size() > 12 ? std::atoi(firstLine.c_str() + 9) : 0; }
};

/// Reads messages from one connection.
class Reader {
 public:
  explicit Reader(int socket) : socket_(socket) {}
  /// False if the connection ended or the time is up before the message is whole.
  bool next(Message& message) {
    message = Message();
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == string::npos)
      if (!more()) return false;
    string const head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    std::size_t line = head.find("\r\n");
    message.firstLine = head.substr(0, line);
    while ((line += 2) < head.size()) {
      std::size_t const next = head.find("\r\n", line);
      string const field = head.substr(line, next - line);
      std::size_t const colon = field.find(':');
      std::size_t const value = field.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(lower(field.substr(0, colon)), value == string::npos ? "" : field.substr(value));
      line = next;
    }
    if (lower(message.header("transfer-encoding")) == "chunked") return readChunks(message.body);
    std::size_t const length = std::strtoull(message.header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < length)
      if (!more()) return false;
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }

 private:
  bool more() {
    char bytes[16384];
    ssize_t const count = ::recv(socket_, bytes, sizeof bytes, 0);
    if (count <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  bool readChunks(string& body) {
    for (;;) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == string::npos)
        if (!more()) return false;
      std::size_t const size = std::strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2)
        if (!more()) return false;
      body += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (!size) return true;
    }
  }
  int socket_;
  string buffer_;
};

/// One call over a fresh connection; status 0 if there was no whole answer in time.
inline Message callOnce(string const& to, string const& request, int limitMs) {
  Message answer;
  int const socket = connectTo(to, limitMs);
  if (socket < 0) return answer;
  Reader reader(socket);
  if (!sendAll(socket, request) || !reader.next(answer)) answer = Message();
  ::close(socket);
  return answer;
}

inline string requestText(string const& verb, string const& path, std::vector<string> const& headers,
                          string const& body) {
  string text = verb + " " + path + " HTTP/1.1\r\n";
  bool hasHost = false;
  for (string const& header : headers) {
    hasHost = hasHost || lower(header).rfind("host:", 0) == 0;
    text += header + "\r\n";
  }
  if (!hasHost) text += "Host: control\r\n";
  if (!body.empty() || verb != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

}  // namespace review
