#include "tests/processes/worker_thread.hpp"

#include <sys/socket.h>
#include <unistd.h>

namespace tealshelf {

namespace {
constexpr Ms reportPause{300}, reportLimit{1000}, connectionLimit{60000}, pollPause{20};
string const workerId = "i-testworker";
}  // namespace

WorkerThread::WorkerThread(Address at, Address control) : at_(std::move(at)), control_(std::move(control)) {}

WorkerThread::~WorkerThread() {
  stopping_ = true;
  if (listener_ >= 0) ::shutdown(listener_, SHUT_RDWR);
  if (reporter_.joinable()) reporter_.join();
  if (acceptor_.joinable()) acceptor_.join();
  while (served_ > 0) std::this_thread::sleep_for(pollPause);
  if (listener_ >= 0) ::close(listener_);
}

void WorkerThread::start() {
  listener_ = listenBlocking(at_);
  acceptor_ = std::thread([this] { acceptAll(); });
  reporter_ = std::thread([this] { report(); });
}

void WorkerThread::report() {
  for (int count = 1; !stopping_; ++count) {
    string const body = "{\"service\":\"app\",\"address\":\"" + at_.text() +
                        "\",\"zone\":\"hall\",\"version\":\"v1\",\"capacity\":400,\"state\":\"ready\","
                        "\"warmupLeftMs\":0,\"callCount\":" +
                        std::to_string(count) + "}";
    string const headers = "Host: control\r\nContent-Type: application/json\r\n";
    callBlocking(control_, requestText("PUT", "/servers/" + workerId, headers, body), reportLimit);
    std::this_thread::sleep_for(reportPause);
  }
}

void WorkerThread::acceptAll() {
  while (!stopping_) {
    int const socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) continue;
    ++served_;
    std::thread([this, socket] { serve(socket); }).detach();
  }
}

void WorkerThread::serve(int socket) {
  timeval const wait{0, 200000};
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  string unread, head, body;
  TimePoint const end = Clock::now() + connectionLimit;
  bool open = true;
  while (open && !stopping_ && Clock::now() < end) {
    char byte = 0;
    ssize_t const count = unread.empty() ? ::recv(socket, &byte, 1, MSG_PEEK) : 1;
    if (count < 0) continue;
    open = count > 0 && readMessage(socket, unread, head, body) && answer(socket, head);
  }
  ::close(socket);
  --served_;
}

bool WorkerThread::answer(int socket, string const& head) const {
  string const path = head.substr(0, head.find(" HTTP/"));
  bool const isHealth = path.ends_with("/health");
  if (path.ends_with("/silent")) {
    char byte = 0;
    while (!stopping_ && ::recv(socket, &byte, 1, MSG_PEEK) != 0) {
    }
    return false;
  }
  string const more = isHealth ? "Server-Id: " + workerId + "\r\n"
                               : "Attempt-Id: " + headerIn(head, "Attempt-Id") + "\r\nServer-Seal: s\r\n";
  string const body(path.ends_with("/large") ? largeAnswerBytes : 2, 'a');
  return sendAll(socket,
                 "HTTP/1.1 200 OK\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

}  // namespace tealshelf
