// Stand-ins of the review: a caller, a worker, and rude peers.
#include "http.h"

#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <optional>
#include <sstream>
#include <thread>

namespace review {
namespace {

using Arguments = std::vector<string>;

std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

string optionOf(Arguments const& arguments, string const& name, string const& fallback) {
  for (std::size_t i = 0; i + 1 < arguments.size(); ++i)
    if (arguments[i] == name) return arguments[i + 1];
  return fallback;
}

std::vector<string> listOf(string const& text) {
  std::vector<string> items;
  std::istringstream input(text);
  for (string item; std::getline(input, item, ',');) items.push_back(item);
  return items;
}

/// call LIMIT_MS VERB IP:PORT PATH [-H HEADER]... [-f BODY_FILE]: prints the status (000: no answer) and the body.
int call(Arguments const& arguments) {
  std::vector<string> headers;
  string body;
  for (std::size_t i = 4; i + 1 < arguments.size(); i += 2) {
    if (arguments[i] == "-H") headers.push_back(arguments[i + 1]);
    if (arguments[i] == "-f") {
      std::ifstream file(arguments[i + 1]);
      body.assign(std::istreambuf_iterator<char>(file), {});
    }
  }
  Message const answer = callOnce(arguments[2], requestText(arguments[1], arguments[3], headers, body),
                                  std::atoi(arguments[0].c_str()));
  std::printf("%03d %s\n", answer.status(), answer.body.c_str());
  return 0;
}

/// lot PATH ID ITEMS: prints the JSON of a lot.
int lot(Arguments const& arguments) {
  std::cout << "{\"requests\":[";
  for (int i = 0; i < std::atoi(arguments[2].c_str()); ++i)
    std::cout << (i ? "," : "") << "{\"serverId\":\"" << arguments[1] << "-" << i << "\",\"urlPath\":\""
              << arguments[0] << "x" << i
              << "\",\"headerMap\":{\"Model\":\"m\",\"Token-Count\":\"60,40\",\"Prompt-Start\":\"9c2e41:60\"},"
                 "\"payload\":\"q83vEjRWeJA=\",\"tokens\":100}";
  std::cout << "]}";
  return 0;
}

/// A sound worker: --at IP:PORT --id ID --service NAME --zone NAME --controls A,B --log FILE [--capacity N]
/// [--event-ms N]. It runs each request as a stream of five events, continues after Last-Event-Id, turns requests away
/// while it is full, and sends a beat each 1200 ms.
class Worker {
 public:
  explicit Worker(Arguments const& arguments)
      : at_(optionOf(arguments, "--at", "")),
        id_(optionOf(arguments, "--id", "")),
        service_(optionOf(arguments, "--service", "")),
        zone_(optionOf(arguments, "--zone", "")),
        controls_(listOf(optionOf(arguments, "--controls", ""))),
        capacity_(std::atoi(optionOf(arguments, "--capacity", "24").c_str())),
        eventMs_(std::atoi(optionOf(arguments, "--event-ms", "10").c_str())),
        log_(optionOf(arguments, "--log", ""), std::ios::app) {}

  [[noreturn]] void run() {
    int const listener = listenAt(at_);
    std::thread([this] { beat(); }).detach();
    for (;;) {
      int const socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket >= 0) std::thread([this, socket] { serve(socket); }).detach();
    }
  }

 private:
  void note(string const& line) {
    std::lock_guard<std::mutex> const guard(mutex_);
    log_ << wallMs() << " worker " << id_ << " " << line << std::endl;
  }

  [[noreturn]] void beat() {
    std::size_t next = 0;
    int last = 200;
    for (int count = 1;; ++count) {
      string const body = "{\"service\":\"" + service_ + "\",\"address\":\"" + at_ + "\",\"zone\":\"" + zone_ +
                          "\",\"version\":\"v1\",\"capacity\":" + std::to_string(capacity_) + ",\"state\":\"ready\",\"warmupLeftMs\":0,"
                          "\"phase\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                          "\"callCount\":" +
                          std::to_string(count) + "}";
      Message const answer =
          callOnce(controls_[next % controls_.size()],
                   requestText("PUT", "/servers/" + id_, {"Content-Type: application/json"}, body), 1000);
      if (answer.status() != last) note("beat answered " + std::to_string(answer.status()));
      last = answer.status();
      if (last / 100 != 2) ++next;
      std::this_thread::sleep_for(std::chrono::milliseconds(last / 100 == 2 ? 1200 : 300));
    }
  }

  void serve(int socket) {
    setTimeout(socket, 60000);
    Reader reader(socket);
    Message request;
    while (reader.next(request) && answer(socket, request)) {
    }
    ::close(socket);
  }

  bool answer(int socket, Message const& request) {
    string const attempt = request.header("attempt-id"), wanted = request.header("wanted-server");
    string const load =
        "Server-Load: " + std::to_string(running_) + ",0," + std::to_string(capacity_) + "\r\n";
    if (request.firstLine.rfind("GET /health", 0) == 0)
      return sendAll(socket, "HTTP/1.1 200 OK\r\nServer-Id: " + id_ + "\r\n" + load + "Content-Length: 0\r\n\r\n");
    if (request.firstLine.rfind("GET /report", 0) == 0)
      return sendAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    if (!wanted.empty() && wanted != id_)
      return sendAll(socket, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt +
                                 "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    if (attempt.empty()) {
      note("turns away a request without an id (" + request.firstLine + ")");
      return sendAll(socket, "HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    }
    if (++running_ > capacity_) {
      --running_;
      return sendAll(socket, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + attempt + "\r\nNot-Run: 1\r\n" +
                                 load + "Content-Length: 0\r\n\r\n");
    }
    bool const whole = stream(socket, request, attempt, load);
    --running_;
    return whole;
  }

  bool stream(int socket, Message const& request, string const& attempt, string const& load) {
    note("runs " + attempt + " (" + request.firstLine + ") after event " + request.header("last-event-id"));
    if (!sendAll(socket, "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: s." + attempt + "\r\n" + load +
                             "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
      return false;
    for (int event = std::atoi(request.header("last-event-id").c_str()) + 1; event <= 5; ++event) {
      std::this_thread::sleep_for(std::chrono::milliseconds(eventMs_));
      string const text = "id: " + std::to_string(event) + "\ndata: " + attempt + "." + std::to_string(event) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      if (!sendAll(socket, size + text + "\r\n")) return false;
    }
    note("has finished " + attempt);
    return sendAll(socket, "0\r\n\r\n");
  }

  string at_, id_, service_, zone_;
  std::vector<string> controls_;
  int capacity_, eventMs_;
  std::atomic<int> running_{0};
  std::mutex mutex_;
  std::ofstream log_;
};

/// flood --edge IP:PORT --peers N --seconds S --rate R --key KEY --name NAME: rude peers. Each opens R connections a
/// second, asks on each for a lot at another host that has no routes, and leaves when its next connection is due.
int flood(Arguments const& arguments) {
  string const edge = optionOf(arguments, "--edge", ""), key = optionOf(arguments, "--key", ""),
               name = optionOf(arguments, "--name", "p");
  int const pauseMs = 1000 / std::max(1, std::atoi(optionOf(arguments, "--rate", "1").c_str()));
  auto const end =
      Clock::now() + std::chrono::milliseconds(
                         static_cast<int>(1000 * std::atof(optionOf(arguments, "--seconds", "1").c_str())));
  std::mutex mutex;
  std::map<int, std::size_t> answers;
  std::size_t asked = 0;
  std::vector<std::thread> peers;
  for (int peer = 0; peer < std::atoi(optionOf(arguments, "--peers", "1").c_str()); ++peer)
    peers.emplace_back([&, peer] {
      std::map<int, std::size_t> own;
      std::size_t questions = 0;
      auto next = Clock::now();
      while (Clock::now() < end) {
        next += std::chrono::milliseconds(pauseMs);
        std::vector<string> headers{"Host: " + name + std::to_string(peer) + "-" + std::to_string(questions++) +
                                    ".example"};
        if (!key.empty()) headers.push_back("Authorization: Bearer " + key);
        ++own[callOnce(edge, requestText("GET", "/lots/7c41e09b52d6a3f8?startAfter=0", headers, ""), pauseMs).status()];
        std::this_thread::sleep_until(next);
      }
      std::lock_guard<std::mutex> const guard(mutex);
      asked += questions;
      for (auto const& [status, count] : own) answers[status] += count;
    });
  for (std::thread& peer : peers) peer.join();
  std::printf(" %zu questions;", asked);
  for (auto const& [status, count] : answers)
    std::printf(" %zu %s", count, status ? ("answered " + std::to_string(status)).c_str() : "left early");
  std::printf("\n");
  return 0;
}

int runCommand(string const& command, Arguments const& arguments) {
  if (command == "call" && arguments.size() >= 4) return call(arguments);
  if (command == "lot" && arguments.size() == 3) return lot(arguments);
  if (command == "flood") return flood(arguments);
  if (command == "worker") Worker(arguments).run();
  return 2;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  return review::runCommand(argv[1], review::Arguments(argv + 2, argv + argc));
}
