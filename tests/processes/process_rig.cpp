#include "tests/processes/process_rig.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace tealshelf {

namespace {
constexpr Ms answerLimit{3000}, patience{20000}, pause{100};
constexpr std::size_t kilobyte = 1024;
string const serviceHost = "Host: shop.example\r\n";

string roleName(ProcessRig::Role role) {
  switch (role) {
    case ProcessRig::Role::control:
      return "control";
    case ProcessRig::Role::edge:
      return "edge";
    case ProcessRig::Role::store:
      return "store";
  }
  return "";
}

/// The folder of the programs: that of this build, or another one's.
string programFolder() {
  char const* const other = std::getenv("TEALSHELF_TEST_PROGRAMS");
  return other ? other : TEALSHELF_PROGRAMS;
}

/// An IP address as it stands in /proc/net/tcp.
string asInNetTable(string const& ip) {
  unsigned parts[4] = {};
  std::sscanf(ip.c_str(), "%u.%u.%u.%u", &parts[0], &parts[1], &parts[2], &parts[3]);
  char text[16];
  std::snprintf(text, sizeof text, "%02X%02X%02X%02X", parts[3], parts[2], parts[1], parts[0]);
  return text;
}

std::size_t unreadBytesAt(string const& ip) {
  std::ifstream table("/proc/net/tcp");
  string const wanted = asInNetTable(ip) + ":";
  constexpr string_view established = "01";
  std::size_t sum = 0;
  string line;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    string slot, local, remote, state, queues;
    fields >> slot >> local >> remote >> state >> queues;
    bool const counts = local.starts_with(wanted) && state == established;
    if (counts) sum += std::strtoull(queues.c_str() + queues.find(':') + 1, nullptr, 16);
  }
  return sum;
}

std::size_t statusBytes(pid_t pid, string const& field) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  string line;
  while (std::getline(status, line))
    if (line.starts_with(field + ":")) return std::strtoull(line.c_str() + field.size() + 1, nullptr, 10) * kilobyte;
  return 0;
}
}  // namespace

ProcessRig::ProcessRig(RigLimits const& limits)
    : limits_(limits),
      folder_("/tmp/tealshelf-process-test-" + std::to_string(::getpid())),
      network_("127.2." + std::to_string(1 + ::getpid() % 250)),
      worker_({network_ + ".9", 9000}, control()) {
  startAll();
  worker_.start();
  configure();
}

ProcessRig::~ProcessRig() {
  processes_.clear();
  std::filesystem::remove_all(folder_);
}

string ProcessRig::ipOf(Role role) const {
  return network_ + "." + std::to_string(1 + static_cast<int>(role));
}

Address ProcessRig::internalOf(Role role) const {
  int const offset = role == Role::control ? 0 : role == Role::store ? 1 : 2;
  return {ipOf(role), firstInternalPort + offset};
}

void ProcessRig::startAll() {
  std::filesystem::remove_all(folder_);
  for (Role const role : {Role::control, Role::edge, Role::store}) {
    string const name = roleName(role);
    std::filesystem::create_directories(folder_ + "/" + name);
    std::ofstream(folder_ + "/" + name + ".conf") << settingsText(role, name);
    processes_.push_back(std::make_unique<Process>());
    processes_.back()->role = role;
    processes_.back()->name = name;
    string const program =
        programFolder() + (role == Role::control ? "/tealshelf-control-plane" : "/tealshelf-data-plane");
    vector<string> const command{program, "--metrics-port", std::to_string(metricsPort),
                                 role == Role::control ? "serve" : name};
    processes_.back()->child.start(command, {{"TEALSHELF_BOOT", folder_ + "/" + name + ".conf"}},
                                   folder_ + "/" + name + ".log");
  }
}

string ProcessRig::settingsText(Role role, string const& name) const {
  string const ip = ipOf(role);
  std::ostringstream text;
  text << "nodeName=" << name << "-1\nrole=" << name
       << "\nmachineClass=edge\nserves=" << (role == Role::store ? "storage" : name) << "\nipAddress=" << ip
       << "\nzone=hall\nregion=here\n"
       << "zones.hall=here\nlistenOn.outside=" << ip << ":" << outsidePort << "\nlistenOn.readiness=" << ip << ":"
       << readinessPort << "\nlistenOn.control=" << ip << ":" << controlPort
       << "\ninternalPorts=7660,7675\nseedNodes=" << control().text()
       << "\nfirstBoot=true\ncountsAsLoss=true\nlimits.memoryMb=" << limits_.memoryMb
       << "\nlimits.openFiles=" << limits_.openFiles << "\nlimits.diskMb=64\nsurvive.machines=0\n"
       << "reportEveryMs=1000\nbounds.inTouchMs=3000\n";
  if (role != Role::edge) text << "dataFolder=" << folder_ << "/" << name << "\n";
  return text.str();
}

string ProcessRig::configuration() const {
  string const route = R"("timeLimitMs":8000,"targetMs":400,"priority":1,"service":"app","tries":2)";
  return R"({"version":1,"routes":[{"name":"web","host":"shop.example","pathStart":"/web/","kind":"repeatable",)" +
         route + R"(},{"name":"jobs","host":"shop.example","pathStart":"/jobs/","kind":"bulk",)" + route +
         R"(,"dueInMs":5000,"keepForS":20,"maxQueuedTokens":100000}],)" +
         R"("services":[{"name":"app","healthPath":"/health","maxConnections":1000}],"limits":{"maxHeaderBytes":)" +
         std::to_string(limits_.maxHeaderBytes) + R"(,"maxBodyBytes":)" + std::to_string(limits_.maxBodyBytes) +
         R"(,"headerWaitMs":)" + std::to_string(limits_.headerWaitMs) + R"(,"idleLimitMs":)" +
         std::to_string(limits_.idleLimitMs) + "}}";
}

void ProcessRig::configure() const {
  string const headers = "Host: control\r\nIf-Match: 0\r\nContent-Type: application/json\r\n";
  bool const taken = answersWith(200, control(), requestText("PUT", "/settings", headers, configuration()));
  if (!taken) throw std::runtime_error("the configuration wasn't taken");
  if (!servesOrdinaryRequest()) throw std::runtime_error("the deployment doesn't serve");
}

bool ProcessRig::answersWith(int status, Address const& to, string const& request) {
  TimePoint const end = Clock::now() + patience;
  while (Clock::now() < end) {
    if (callBlocking(to, request, answerLimit).status == status) return true;
    std::this_thread::sleep_for(pause);
  }
  return false;
}

string ProcessRig::ordinaryRequest() const {
  return requestText("POST", "/web/x", serviceHost + "Attempt-Id: " + hex(randomId()) + "\r\n", "hello");
}

bool ProcessRig::servesOrdinaryRequest() const {
  return answersWith(200, outside(), ordinaryRequest());
}

bool ProcessRig::isAlive(Role role) {
  return process(role).child.isRunning() && !process(role).child.pollExit();
}

ProcessUse ProcessRig::useOf(Role role) const {
  pid_t const pid = process(role).child.pid();
  ProcessUse use;
  use.peakBytes = statusBytes(pid, "VmHWM");
  use.residentBytes = statusBytes(pid, "VmRSS");
  use.unreadBytes = unreadBytesAt(ipOf(role));
  std::error_code ignored;
  for (auto entry = std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", ignored);
       entry != std::filesystem::directory_iterator(); entry.increment(ignored))
    ++use.descriptors;
  return use;
}

}  // namespace tealshelf
