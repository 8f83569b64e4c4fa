// Applications of a zone add to tallies at the control address of their zone and read them there, while the zone is cut
// off from the others for some seconds and after that. Checks the first clause of STALE: a read must not lack an
// addition that the same machine acknowledged in the same life. No process is stopped or ended.
//
// The cut is made by a proxy in each of the connections between the zone's control process and those of other zones.
// So that there is room for a proxy beside a program that binds the port itself, the zone's process has other internal
// ports in its settings file. The greeting of a connection names the address that was dialled; the proxy gives it the
// port of the process behind it, and the answer that of itself. All other bytes pass as they are, or wait in a cut.
#include "rig.h"

#include <memory>
#include <utility>

using namespace rig;

namespace {
constexpr int applications = 3, betweenCallsMs = 50, kept = 40;
constexpr int turns = 3, cutMs = 11000, upMs = 16000;
constexpr int usualPort = 7660, ownPort = 7670;
std::atomic<bool> isCut{false}, stopping{false};
std::atomic<long> added{0}, refused{0}, reads{0}, stale{0};

/// Passes bytes on in one direction until a side ends.
void pump(std::shared_ptr<int> from, std::shared_ptr<int> to, int portBefore, int portAfter) {
  bool isGreeting = true;
  char buffer[65536];
  while (!stopping) {
    pollfd wait{*from, POLLIN, 0};
    if (::poll(&wait, 1, 100) <= 0) continue;
    while (isCut && !stopping) pause(5);
    ssize_t const count = ::recv(*from, buffer, sizeof buffer, MSG_DONTWAIT);
    if (count < 0 && errno == EAGAIN) continue;
    if (count <= 0) break;
    if (std::exchange(isGreeting, false))
      for (ssize_t i = 0; i + 2 < count && i < 200; ++i) {
        auto* const byte = reinterpret_cast<unsigned char*>(buffer + i);
        bool const isPort = byte[0] == 0xcd && byte[1] == (portBefore >> 8) && byte[2] == (portBefore & 255);
        if (!isPort) continue;
        byte[1] = static_cast<unsigned char>(portAfter >> 8);
        byte[2] = static_cast<unsigned char>(portAfter & 255);
        break;
      }
    std::size_t sent = 0;
    while (sent < static_cast<std::size_t>(count) && !stopping) {
      while (isCut && !stopping) pause(5);
      ssize_t const part = ::send(*to, buffer + sent, static_cast<std::size_t>(count) - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (part > 0) sent += static_cast<std::size_t>(part);
      if (part < 0 && errno != EAGAIN) break;
      if (part < 0) pause(1);
    }
    if (sent < static_cast<std::size_t>(count)) break;
  }
  ::shutdown(*from, SHUT_RDWR);
  ::shutdown(*to, SHUT_RDWR);
}

/// Takes connections at one address and passes them on to another one.
void relay(int listener, string ip, int listenPort, int targetPort) {
  while (!stopping) {
    pollfd wait{listener, POLLIN, 0};
    if (::poll(&wait, 1, 100) <= 0) continue;
    int const taken = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (taken < 0) continue;
    std::thread([taken, ip, listenPort, targetPort] {
      auto const close = [](int* socket) {
        ::close(*socket);
        delete socket;
      };
      std::shared_ptr<int> const outer(new int(taken), close);
      while (isCut && !stopping) pause(5);
      int const target = connectTo(ip, targetPort, 1000);
      if (target < 0) return;
      std::shared_ptr<int> const inner(new int(target), close);
      std::thread(pump, inner, outer, targetPort, listenPort).detach();
      pump(outer, inner, listenPort, targetPort);
    }).detach();
  }
}

bool startRelay(vector<std::thread>& threads, string const& ip, int listenPort, int targetPort) {
  int const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(listenPort));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) || ::listen(listener, 256)) return false;
  threads.emplace_back(relay, listener, ip, listenPort, targetPort);
  return true;
}

string addition(string const& tally) {
  return requestText("POST", "/tallies/" + tally, "control", "Content-Type: application/json\r\n",
                     "{\"serverId\":\"add-" + tally + "\",\"changedBy\":1}");
}

void readOne(string const& nearest, string const& tally, double addedAt) {
  Answer const total = call(nearest, controlPort, requestText("GET", "/tallies/" + tally, "control", "", ""));
  if (total.status != 200) return;
  ++reads;
  bool const lacks = total.body != "{\"total\":1}";
  if (lacks) ++stale;
  record.line("%s: GET /tallies/%s -> 200 %s, +1 acknowledged by it at %.4f%s", nearest.c_str(), tally.c_str(),
              total.body.c_str(), addedAt, lacks ? "  LACKS THE ADDITION" : "");
}

/// One application: adds 1 under a new name at its zone's control address, then reads one of its latest names there.
void apply(string const& nearest, int number) {
  vector<std::pair<string, double>> latest;
  for (long k = 0; !stopping; ++k) {
    string const tally = "hall-" + std::to_string(number) + "-" + std::to_string(k);
    Answer const add = call(nearest, controlPort, addition(tally));
    if (add.status == 200) {
      ++added;
      latest.emplace_back(tally, seconds());
      if (latest.size() > kept) latest.erase(latest.begin());
    } else {
      ++refused;
      record.line("%s: POST /tallies/%s -> %d", nearest.c_str(), tally.c_str(), add.status);
    }
    if (!latest.empty()) {
      auto const& [name, at] = latest[static_cast<std::size_t>(k) % latest.size()];
      readOne(nearest, name, at);
    }
    pause(betweenCallsMs);
  }
}
}  // namespace

// tally_cut ROOT FOLDER RECORD TROUBLE
int main(int argc, char** argv) {
  if (argc != 5) return 2;
  bool const trouble = string(argv[4]) != "0";
  record.open(argv[3]);
  Deployment deployment(argv[1], argv[2]);
  string const zones[] = {"a", "b", "c", "d"};
  std::map<string, string> more = {{"seedNodes", "127.62.1.1:8146,127.62.1.2:8146,127.62.1.3:8146"},
                                   {"limits.memoryMb", "160"},
                                   {"limits.openFiles", "4100"},
                                   {"limits.diskMb", "64"},
                                   {"reportEveryMs", "1200"},
                                   {"survive.machines", "1"},
                                   {"survive.zones", "1"},
                                   {"bounds.inTouchMs", "4000"},
                                   {"bounds.confirmWithinMs", "5000"},
                                   {"bounds.catchUpS", "6"},
                                   {"bounds.mergeMs", "3000"}};
  for (string const& zone : zones) more["zones." + zone] = "here";
  vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    string const ip = "127.62.1." + std::to_string(i + 1);
    bool const isOwn = i == 3;
    deployment.add("edge-" + zones[i], "control", ip, zones[i], true, more);
    if (isOwn) deployment.processes().back().fields["internalPorts"] = "7670,7685";
    bool const relays = startRelay(threads, ip, isOwn ? usualPort : ownPort, isOwn ? ownPort : usualPort);
    if (!relays) return 2;
  }
  deployment.startAll();
  string const nearest = "127.62.1.4";
  bool served = false;
  while (!served && seconds() < 20) {
    served = true;
    for (int i = 1; i <= 4; ++i)
      served = served && call("127.62.1." + std::to_string(i), controlPort,
                              requestText("GET", "/tallies/first", "control", "", ""))
                                 .status == 200;
    pause(200);
  }
  if (!served) return 2;
  pause(4000);
  record.line("all control nodes serve tallies; the applications call %s, of zone d", nearest.c_str());
  vector<std::thread> callers;
  for (int number = 0; number < applications; ++number) callers.emplace_back(apply, nearest, number);
  pause(3000);
  for (int turn = 0; turn < turns; ++turn) {
    if (trouble) record.line("zone d is cut off from the others");
    isCut = trouble;
    pause(cutMs);
    isCut = false;
    if (trouble) record.line("the cut has healed");
    pause(upMs);
  }
  stopping = true;
  for (std::thread& thread : callers) thread.join();
  for (std::thread& thread : threads) thread.join();
  record.line("additions acknowledged by %s: %ld, others %ld; reads there %ld, of these without the addition %ld",
              nearest.c_str(), added.load(), refused.load(), reads.load(), stale.load());
  std::printf("reads %ld, stale %ld\n", reads.load(), stale.load());
  bool ended = false;
  for (Process& each : deployment.processes()) ended = deployment.hasEnded(each) || ended;
  deployment.endAll();
  std::fflush(stdout);
  // Detached threads may still hold sockets.
  ::_exit(ended || reads < 100 ? 2 : stale ? 1 : 0);
}
