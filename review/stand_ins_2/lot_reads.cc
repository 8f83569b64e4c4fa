// A client hands in a lot, waits until all its items are listed and reads them; then the operator changes the
// configuration, and the client reads the lot again at every edge. Rule LOST: a result once read doesn't come again.
//   route: the change removes the lot's route; the host has another route for all paths
//   tenant: the change names the first tenant and makes the lot's route public
#include "rig.h"

using namespace rig;

namespace {
constexpr int items = 20, eventsOfAnItem = 3;
std::atomic<bool> stopping{false};

/// A worker as the pages describe it: serves one request at a time on a connection, answers 421 to what is meant for
/// another one, and beats.
struct Worker {
  string id, service, ip, zone;
  int port = 0;
  vector<string> controls;

  bool listenAndBeat(vector<std::thread>& threads) {
    int const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) || ::listen(listener, 64)) return false;
    threads.emplace_back([this, listener] {
      while (!stopping) {
        pollfd wait{listener, POLLIN, 0};
        if (::poll(&wait, 1, 100) != 1) continue;
        int const taken = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (taken >= 0) std::thread([this, taken] { serve(taken); }).detach();
      }
      ::close(listener);
    });
    threads.emplace_back([this] { beat(); });
    return true;
  }

  void beat() const {
    string reportTo;
    std::size_t next = 0;
    for (int k = 1; !stopping; ++k) {
      string const body = "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + std::to_string(port) +
                          "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"capacity\":8,\"state\":\"ready\"," +
                          "\"warmupLeftMs\":0,\"callCount\":" + std::to_string(k) + "}";
      string const to = reportTo.empty() ? controls[next++ % controls.size()] : reportTo;
      Answer const answer =
          call(to, controlPort, requestText("PUT", "/servers/" + id, "control", "Content-Type: application/json\r\n", body));
      std::size_t const named = answer.body.find("\"reportTo\":\"");
      bool const taken = answer.status / 100 == 2;
      reportTo.clear();
      if (taken && named != string::npos) {
        string const address = answer.body.substr(named + 12);
        reportTo = address.substr(0, address.find(':'));
      }
      if (!taken) continue;
      for (int i = 0; i < 10 && !stopping; ++i) pause(100);
    }
  }

  string answerTo(string const& verb, string const& target, std::map<string, string> const& headers) const {
    auto const header = [&](char const* name) {
      auto const found = headers.find(name);
      return found == headers.end() ? string() : found->second;
    };
    string const common = "Attempt-Id: " + header("attempt-id") + "\r\n";
    string const wanted = header("wanted-server");
    auto const plain = [&](string const& status, string const& more, string const& body) {
      return "HTTP/1.1 " + status + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    if (target == "/health") return plain("200 OK", "Server-Id: " + id + "\r\n", "");
    record.line("worker %s of %s: %s %s, Attempt-Id %s", id.c_str(), service.c_str(), verb.c_str(), target.c_str(),
                header("attempt-id").empty() ? "missing" : header("attempt-id").c_str());
    if (!wanted.empty() && wanted != id) return plain("421 Misdirected", common + "Not-Run: 1\r\n", "");
    if (header("attempt-id").empty()) return plain("400 Bad Request", "Not-Run: 1\r\n", "");
    string const seal = "Server-Seal: " + id + "." + header("attempt-id") + "\r\n";
    if (service == "web") return plain("404 Not Found", common + seal, "no such page");
    string text = "HTTP/1.1 200 OK\r\n" + common + seal +
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    int const from = header("last-event-id").empty() ? 1 : std::atoi(header("last-event-id").c_str()) + 1;
    for (int event = from; event <= eventsOfAnItem; ++event) {
      string const data = "id: " + std::to_string(event) + "\ndata: " + header("attempt-id") + "/" +
                          std::to_string(event) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", data.size());
      text += size + data + "\r\n";
    }
    return text + "0\r\n\r\n";
  }

  void serve(int socket) const {
    string bytes;
    for (;;) {
      std::size_t head = string::npos;
      std::size_t length = 0;
      std::map<string, string> headers;
      string verb, target;
      for (;;) {
        head = bytes.find("\r\n\r\n");
        if (head != string::npos) {
          std::istringstream lines(bytes.substr(0, head));
          string line;
          std::getline(lines, line);
          std::istringstream(line) >> verb >> target;
          headers.clear();
          while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') line.pop_back();
            std::size_t const colon = line.find(':');
            if (colon == string::npos) continue;
            std::size_t const value = line.find_first_not_of(' ', colon + 1);
            headers[lower(line.substr(0, colon))] = value == string::npos ? "" : line.substr(value);
          }
          length = static_cast<std::size_t>(std::strtoull(headers["content-length"].c_str(), nullptr, 10));
          if (bytes.size() >= head + 4 + length) break;
        }
        pollfd wait{socket, POLLIN, 0};
        if (::poll(&wait, 1, 200) != 1) {
          if (!stopping) continue;
          ::close(socket);
          return;
        }
        char buffer[16384];
        ssize_t const count = ::recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0) {
          ::close(socket);
          return;
        }
        bytes.append(buffer, static_cast<std::size_t>(count));
      }
      bytes.erase(0, head + 4 + length);
      string const answer = answerTo(verb, target, headers);
      if (::send(socket, answer.data(), answer.size(), MSG_NOSIGNAL) < 0) {
        ::close(socket);
        return;
      }
    }
  }
};

string configuration(int version, bool hasLotRoute, bool hasTenant) {
  string const lotRoute =
      "{\"name\":\"night\",\"host\":\"shop.example\",\"pathStart\":\"/night/\",\"kind\":\"bulk\",\"timeLimitMs\":8000,"
      "\"targetMs\":500,\"priority\":2,\"service\":\"model\",\"tries\":3,\"dueInMs\":8000,\"keepForS\":40,"
      "\"maxQueuedTokens\":1000000" +
      string(hasTenant ? ",\"public\":true" : "") + "},";
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + (hasLotRoute ? lotRoute : "") +
         "{\"name\":\"all\",\"host\":\"shop.example\",\"pathStart\":\"/\",\"kind\":\"repeatable\",\"timeLimitMs\":2000,"
         "\"targetMs\":200,\"priority\":0,\"service\":\"web\",\"tries\":2}],\"services\":[{\"name\":\"model\","
         "\"healthPath\":\"/health\",\"maxConnections\":100},{\"name\":\"web\",\"healthPath\":\"/health\","
         "\"maxConnections\":100}]," +
         (hasTenant ? "\"customers\":[{\"name\":\"hut\",\"apiKeys\":[\"key-of-hut\"]}]," : "") +
         "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerWaitMs\":3000,\"idleLimitMs\":15000}}";
}

string lotOf(string const& id) {
  string body = "{\"requests\":[";
  for (int item = 0; item < items; ++item)
    body += (item ? "," : "") + string("{\"serverId\":\"") + id + "-" + std::to_string(item) + "\",\"urlPath\":\"/night/" +
            std::to_string(item) + "\",\"headerMap\":{\"Model\":\"m\"},\"payload\":\"q83vEjRWeJA=\",\"tokens\":100}";
  return body + "]}";
}

/// True if an answer lists all items as finished.
bool isWhole(Answer const& answer) {
  if (answer.status != 200 || !answer.complete) return false;
  int finished = 0;
  for (std::size_t at = 0; (at = answer.body.find("\"state\":\"finished\"", at)) != string::npos; ++at) ++finished;
  return finished == items;
}
}  // namespace

// lot_reads ROOT FOLDER RECORD TROUBLE route|tenant
int main(int argc, char** argv) {
  if (argc != 6) return 2;
  bool const trouble = string(argv[4]) != "0";
  bool const isTenant = string(argv[5]) == "tenant";
  record.open(argv[3]);
  Deployment deployment(argv[1], argv[2]);
  string const network = isTenant ? "127.64." : "127.65.";
  string const zones[] = {"a", "b", "c"};
  vector<string> edges;
  std::map<string, string> more = {
      {"zones.a", "here"},
      {"zones.b", "here"},
      {"zones.c", "here"},
      {"seedNodes", network + "1.1:8146," + network + "1.2:8146," + network + "1.3:8146"},
      {"limits.memoryMb", "260"},
      {"limits.openFiles", "4100"},
      {"limits.diskMb", "64"},
      {"reportEveryMs", "1200"},
      {"survive.machines", "1"},
      {"bounds.inTouchMs", "3000"},
      {"bounds.applyWithinMs", "2000"},
      {"bounds.settleWithinMs", "1000"}};
  for (int i = 0; i < 3; ++i) {
    edges.push_back(network + "1." + std::to_string(i + 1));
    deployment.add("edge-" + zones[i], "control", edges.back(), zones[i], true, more);
    deployment.add("edge-" + zones[i], "edge", edges.back(), zones[i], false, more);
    deployment.add("storage-" + zones[i], "store", network + "2." + std::to_string(i + 1), zones[i], true, more);
  }
  deployment.startAll();
  if (!configure(edges[0], "0", configuration(1, true, false), 20)) return 2;
  record.line("configuration 1 is acknowledged");
  vector<std::thread> threads;
  vector<Worker> workers;
  for (int i = 0; i < 3; ++i) {
    workers.push_back({"i-model-" + zones[i], "model", network + "3." + std::to_string(i + 1), zones[i], 9000, edges});
    workers.push_back({"i-web-" + zones[i], "web", network + "3." + std::to_string(i + 1), zones[i], 9001, edges});
  }
  for (Worker& worker : workers)
    if (!worker.listenAndBeat(threads)) return 2;
  bool ready = false;
  while (!ready && seconds() < 30) {
    ready = true;
    for (string const& edge : edges)
      ready = ready && call(edge, readinessPort, requestText("GET", "/readiness", "x", "", "")).status == 200;
    pause(200);
  }
  pause(3000);
  string const id = "7c41e09b52d6a3f8", host = "shop.example";
  string const read = "GET /lots/" + id + "?startAfter=0";
  auto const readAt = [&](string const& edge, string const& key) {
    return call(edge, outsidePort, requestText("GET", "/lots/" + id + "?startAfter=0", host, key, ""), 2500);
  };
  int accepted = 0;
  for (int tries = 0; tries < 10 && accepted != 202; ++tries) {
    accepted = call(edges[static_cast<std::size_t>(tries) % 3], outsidePort,
                    requestText("POST", "/night/x", host,
                                "Attempt-Id: " + id + "\r\nContent-Type: application/json\r\n", lotOf(id)),
                    3000)
                   .status;
    record.line("client: POST of the lot of %d items -> %d", items, accepted);
    pause(200);
  }
  if (accepted != 202) return 2;
  bool listed = false;
  while (!listed && seconds() < 60) {
    listed = true;
    for (string const& edge : edges) listed = listed && isWhole(readAt(edge, ""));
    pause(500);
  }
  if (!listed) return 2;
  record.line("client: %s -> 200 at each edge, all %d items finished", read.c_str(), items);
  if (trouble) {
    if (!configure(edges[1], "1", configuration(2, isTenant, isTenant), 70)) return 2;
    record.line("configuration 2 is acknowledged: %s",
                isTenant ? "it names the first tenant and makes the lot's route public" : "it has no lot route any more");
  }
  // applyWithinMs and settleWithinMs are over by then.
  pause(5000);
  int lost = 0, whole = 0;
  for (int round = 0; round < 10; ++round) {
    for (string const& edge : edges) {
      vector<string> keys = {""};
      if (isTenant) keys.push_back("Authorization: Bearer key-of-hut\r\n");
      bool isRead = false;
      for (string const& key : keys) {
        Answer const answer = readAt(edge, key);
        isRead = isRead || isWhole(answer);
        record.line("client: %s at %s%s -> %d %s", read.c_str(), edge.c_str(), key.empty() ? "" : " with the tenant's key",
                    answer.status, isWhole(answer) ? "all items finished" : answer.body.substr(0, 120).c_str());
      }
      ++(isRead ? whole : lost);
    }
    pause(1000);
  }
  record.line("reads by every way open to a client: %d found the lot, %d didn't", whole, lost);
  std::printf("found %d, not found %d\n", whole, lost);
  stopping = true;
  for (std::thread& thread : threads) thread.join();
  bool ended = false;
  for (Process& each : deployment.processes()) ended = deployment.hasEnded(each) || ended;
  deployment.endAll();
  std::fflush(stdout);
  // Threads of connections may still run.
  ::_exit(ended ? 2 : lost ? 1 : 0);
}
