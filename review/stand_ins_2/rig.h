// What the cases of this review share: a small deployment of the project's own programs on loopback addresses, and
// blocking HTTP/1.1 calls. Every process that is started here is ended by its own id.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using std::string;
using std::vector;

inline Clock::time_point const began = Clock::now();
inline double seconds() { return std::chrono::duration<double>(Clock::now() - began).count(); }
inline void pause(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/// The record of what was sent, answered and run; one line an event, with the time since the start.
class Record {
 public:
  void open(string const& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(char const* format, ...) {
    std::lock_guard<std::mutex> const guard(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%9.4f ", seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};
inline Record record;

struct Answer {
  int status = 0;  ///< 0: none
  std::map<string, string> headers;
  string body;
  bool complete = false;
};

inline int connectTo(string const& ip, int port, int limitMs) {
  int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (socket < 0) return -1;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) && errno != EINPROGRESS) {
    ::close(socket);
    return -1;
  }
  pollfd wait{socket, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (::poll(&wait, 1, limitMs) != 1 || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) || error) {
    ::close(socket);
    return -1;
  }
  int const on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

inline string lower(string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

/// Sends a whole request on a connection and reads one answer, within a time limit.
inline Answer exchangeOn(int socket, string const& request, int limitMs) {
  Answer answer;
  auto const until = Clock::now() + std::chrono::milliseconds(limitMs);
  auto const left = [&] {
    return std::max<int>(0, static_cast<int>(
                                std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count()));
  };
  std::size_t sent = 0;
  while (sent < request.size()) {
    ssize_t const count = ::send(socket, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    if (count < 0 && errno != EAGAIN) return answer;
    pollfd wait{socket, POLLOUT, 0};
    if (::poll(&wait, 1, left()) != 1) return answer;
  }
  string bytes;
  std::size_t head = string::npos;
  std::size_t length = 0;
  for (;;) {
    if (head == string::npos && (head = bytes.find("\r\n\r\n")) != string::npos) {
      std::istringstream lines(bytes.substr(0, head));
      string line;
      std::getline(lines, line);
      answer.status = std::atoi(line.c_str() + std::min<std::size_t>(line.size(), 9));
      while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') line.pop_back();
        std::size_t const colon = line.find(':');
        if (colon == string::npos) continue;
        std::size_t const value = line.find_first_not_of(' ', colon + 1);
        answer.headers[lower(line.substr(0, colon))] = value == string::npos ? "" : line.substr(value);
      }
      length = static_cast<std::size_t>(std::strtoull(answer.headers["content-length"].c_str(), nullptr, 10));
    }
    if (head != string::npos && bytes.size() >= head + 4 + length) {
      answer.body = bytes.substr(head + 4, length);
      answer.complete = true;
      return answer;
    }
    pollfd wait{socket, POLLIN, 0};
    if (::poll(&wait, 1, left()) != 1) return answer;
    char buffer[16384];
    ssize_t const count = ::recv(socket, buffer, sizeof buffer, 0);
    if (count <= 0 && !(count < 0 && errno == EAGAIN)) return answer;
    if (count > 0) bytes.append(buffer, static_cast<std::size_t>(count));
  }
}

inline string requestText(string const& verb, string const& target, string const& host, string const& headers,
                          string const& body) {
  return verb + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers +
         (body.empty() && verb == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" +
         body;
}

/// One call on a connection of its own.
inline Answer call(string const& ip, int port, string const& request, int limitMs = 1000) {
  int const socket = connectTo(ip, port, limitMs);
  if (socket < 0) return {};
  Answer answer = exchangeOn(socket, request, limitMs);
  ::close(socket);
  return answer;
}

constexpr int outsidePort = 8144, readinessPort = 8140, controlPort = 8146;

/// One process of the deployment.
struct Process {
  string name, settings;
  vector<string> command;
  std::map<string, string> fields;  ///< of the settings file
  pid_t pid = -1;
};

/// A deployment: settings files and disks in a temporary folder.
class Deployment {
 public:
  Deployment(string root, string folder) : root_(std::move(root)), folder_(std::move(folder)) {}
  ~Deployment() { endAll(); }

  Process& add(string const& name, string const& role, string const& ip, string const& zone, bool hasDisk,
               std::map<string, string> const& more) {
    Process process;
    process.name = name + "-" + role;
    process.settings = folder_ + "/" + process.name + ".conf";
    bool const isControl = role == "control", isStore = role == "store";
    process.command = {root_ + "/target/" + (isControl ? "tealshelf-control-plane" : "tealshelf-data-plane"),
                       "--metrics-port", isControl ? "7663" : isStore ? "7664" : "7665",
                       isControl ? "serve" : role};
    std::map<string, string>& fields = process.fields;
    fields = more;
    fields["nodeName"] = name;
    fields["role"] = role;
    fields["machineClass"] = isStore ? "storage" : "edge";
    fields["serves"] = isControl ? "control" : isStore ? "storage" : "edge";
    fields["ipAddress"] = ip;
    fields["zone"] = zone;
    fields["region"] = "here";
    fields["listenOn.outside"] = ip + ":" + std::to_string(outsidePort);
    fields["listenOn.readiness"] = ip + ":" + std::to_string(readinessPort);
    fields["listenOn.control"] = ip + ":" + std::to_string(controlPort);
    fields["internalPorts"] = "7660,7675";
    fields["countsAsLoss"] = hasDisk ? "true" : "false";
    if (hasDisk) {
      fields["dataFolder"] = folder_ + "/" + process.name;
      ::mkdir(fields["dataFolder"].c_str(), 0755);
    }
    processes_.push_back(std::move(process));
    return processes_.back();
  }
  Process& find(string const& name) {
    for (Process& process : processes_)
      if (process.name == name) return process;
    std::fprintf(stderr, "no process %s\n", name.c_str());
    std::exit(2);
  }
  void start(Process& process, bool firstBoot) {
    process.fields["firstBoot"] = firstBoot ? "true" : "false";
    std::ofstream file(process.settings);
    for (auto const& [field, value] : process.fields) file << field << "=" << value << "\n";
    file.close();
    pid_t const pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int const log = ::open((folder_ + "/" + process.name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("TEALSHELF_BOOT", process.settings.c_str(), 1);
      vector<char*> arguments;
      for (string& word : process.command) arguments.push_back(word.data());
      arguments.push_back(nullptr);
      ::chdir(root_.c_str());
      ::execv(arguments[0], arguments.data());
      ::_exit(127);
    }
    process.pid = pid;
  }
  void startAll() {
    for (Process& process : processes_) start(process, true);
  }
  void signal(Process& process, int number) {
    if (process.pid > 0) ::kill(process.pid, number);
  }
  /// Kills a process and waits for its end.
  void end(Process& process) {
    if (process.pid <= 0) return;
    ::kill(process.pid, SIGCONT);
    ::kill(process.pid, SIGKILL);
    int status = 0;
    ::waitpid(process.pid, &status, 0);
    process.pid = -1;
  }
  /// True if the process ended by itself.
  bool hasEnded(Process& process) {
    int status = 0;
    return process.pid > 0 && ::waitpid(process.pid, &status, WNOHANG) == process.pid;
  }
  void endAll() {
    for (Process& process : processes_) end(process);
  }
  std::vector<Process>& processes() { return processes_; }

 private:
  string root_, folder_;
  vector<Process> processes_;
};

/// Sends a configuration until it is acknowledged; false if it never is.
inline bool configure(string const& ip, string const& base, string const& body, double until) {
  while (seconds() < until) {
    Answer const answer =
        call(ip, controlPort,
             requestText("PUT", "/settings", "control", "If-Match: " + base + "\r\nContent-Type: application/json\r\n",
                         body));
    if (answer.status == 200) return true;
    pause(200);
  }
  return false;
}

}  // namespace rig
