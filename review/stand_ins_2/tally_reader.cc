// Applications add to tallies and read them at a control address of their zone, that of a machine without a disk, which
// passes their calls on to the control nodes with disks. One of these freezes, and another one is killed meanwhile: two
// of five, as many as survive.machines allows. Checks the first clause of STALE: a read must not lack an addition that
// the same machine acknowledged in the same life. The machine that the applications call runs undisturbed in one life.
#include "rig.h"

using namespace rig;

namespace {
constexpr int applications = 3, betweenCallsMs = 50, kept = 20;
constexpr int turns = 4, frozenMs = 2000, killedAfterMs = 1500, downMs = 2000, upMs = 10000;
std::atomic<bool> stopping{false};
std::atomic<long> added{0}, elsewhere{0}, reads{0}, stale{0};

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

/// One application: adds 1 under a new name at the nearest control address, reads that name there, then one of its
/// latest names. Each call is on a connection of its own. After anything but a 200 it moves on to another address; what
/// that one acknowledges isn't checked.
void apply(string const& nearest, string const& other, int number) {
  vector<std::pair<string, double>> latest;
  for (long k = 0; !stopping; ++k) {
    string const tally = "hall-" + std::to_string(number) + "-" + std::to_string(k);
    Answer const add = call(nearest, controlPort, addition(tally));
    if (add.status == 200) {
      ++added;
      latest.emplace_back(tally, seconds());
      if (latest.size() > kept) latest.erase(latest.begin());
      readOne(nearest, tally, latest.back().second);
    } else if (call(other, controlPort, addition(tally)).status == 200) {
      ++elsewhere;
    }
    if (!latest.empty()) {
      auto const& [name, at] = latest[static_cast<std::size_t>(k) % latest.size()];
      readOne(nearest, name, at);
    }
    pause(betweenCallsMs);
  }
}
}  // namespace

// tally_reader ROOT FOLDER RECORD TROUBLE
int main(int argc, char** argv) {
  if (argc != 5) return 2;
  bool const trouble = string(argv[4]) != "0";
  record.open(argv[3]);
  Deployment deployment(argv[1], argv[2]);
  string const zones[] = {"a", "b", "c", "d", "e"};
  std::map<string, string> more = {{"seedNodes", "127.61.1.1:8146,127.61.1.2:8146,127.61.1.3:8146"},
                                   {"limits.memoryMb", "160"},
                                   {"limits.openFiles", "4100"},
                                   {"limits.diskMb", "64"},
                                   {"reportEveryMs", "1200"},
                                   {"survive.machines", "2"},
                                   {"bounds.inTouchMs", "4000"},
                                   {"bounds.confirmWithinMs", "5000"},
                                   {"bounds.catchUpS", "6"},
                                   {"bounds.mergeMs", "3000"}};
  for (string const& zone : zones) more["zones." + zone] = "here";
  for (int i = 0; i < 5; ++i) {
    string const first = "127.61.1." + std::to_string(i + 1), second = "127.61.3." + std::to_string(i + 1);
    deployment.add("edge-" + zones[i] + "-1", "control", first, zones[i], true, more);
    deployment.add("edge-" + zones[i] + "-1", "edge", first, zones[i], false, more);
    deployment.add("edge-" + zones[i] + "-2", "control", second, zones[i], false, more);
    deployment.add("edge-" + zones[i] + "-2", "edge", second, zones[i], false, more);
  }
  deployment.startAll();
  string const nearest = "127.61.3.5", other = "127.61.1.2";
  bool served = false;
  while (!served && seconds() < 20) {
    served = true;
    for (string const& ip : {string("127.61.1.1"), string("127.61.1.2"), string("127.61.1.3"), string("127.61.1.4"),
                             string("127.61.1.5"), nearest})
      served = served && call(ip, controlPort, requestText("GET", "/tallies/first", "control", "", "")).status == 200;
    pause(200);
  }
  if (!served) return 2;
  pause(4000);
  record.line("all control nodes serve tallies; the applications call %s, of edge-e-2, which has no disk",
              nearest.c_str());
  vector<std::thread> threads;
  for (int number = 0; number < applications; ++number) threads.emplace_back(apply, nearest, other, number);
  Process& frozen = deployment.find("edge-a-1-control");
  Process& killed = deployment.find("edge-e-1-control");
  pause(3000);
  for (int turn = 0; turn < turns; ++turn) {
    if (trouble) {
      deployment.signal(frozen, SIGSTOP);
      record.line("the control process of edge-a-1 freezes");
    }
    pause(killedAfterMs);
    if (trouble) {
      deployment.end(killed);
      record.line("the control process of edge-e-1 is killed");
    }
    pause(frozenMs - killedAfterMs);
    if (trouble) {
      deployment.signal(frozen, SIGCONT);
      record.line("the control process of edge-a-1 goes on");
    }
    pause(downMs - (frozenMs - killedAfterMs));
    if (trouble) {
      deployment.start(killed, false);
      record.line("the control process of edge-e-1 is started again");
    }
    pause(upMs);
  }
  stopping = true;
  for (std::thread& thread : threads) thread.join();
  record.line("additions acknowledged by %s: %ld, by another address %ld; reads there %ld, of these without the "
              "addition %ld",
              nearest.c_str(), added.load(), elsewhere.load(), reads.load(), stale.load());
  std::printf("reads %ld, stale %ld\n", reads.load(), stale.load());
  for (Process& each : deployment.processes())
    if (deployment.hasEnded(each)) return 2;
  if (reads < 100) return 2;
  return stale ? 1 : 0;
}
