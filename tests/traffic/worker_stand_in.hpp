#pragma once
#include "edge/edge_node.hpp"
#include "tenants/messages.hpp"
#include "tests/wire/loopback.hpp"
#include "workers/registry_digest.hpp"
#include "workers/worker_heartbeat.hpp"

namespace tealshelf {

/// How a stand-in worker handles a request. "$ID" is replaced by the request's attempt id, of three characters.
struct Script {
  enum class End { keep, close, reset, silent };
  string early;           ///< sent after the head, before the body is read
  bool readsBody = true;  ///< false: reads no body and ends the connection at once
  string answer;          ///< sent after the whole request was read
  End end = End::keep;
  string late;  ///< sent a moment after each answer to a priming request
  Ms pause{0};  ///< delay before the answer
};

/// The text of an HTTP answer; with an empty id it has no Attempt-Id header.
inline string answerText(int status, string const& id, string const& more, string const& body) {
  string s = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
  if (!id.empty()) s += "Attempt-Id: " + id + "\r\n";
  return s + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A worker on loopback that follows its script, except for priming requests, which it answers with 200.
class StandIn {
 public:
  StandIn(asio::io_context& io, Address at, Script const& script) : io_(io), script_(script), acceptor_(io) {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.set_option(asio::socket_base::receive_buffer_size(8192));
    acceptor_.bind({asio::ip::make_address(at.ip), static_cast<std::uint16_t>(at.port)});
    acceptor_.listen(16);
    spawnTask(io_, "stand-in", acceptLoop());
  }
  std::size_t primed = 0, sends = 0, probes = 0;
  bool resetsProbes = false;  ///< answers health requests with a reset
  string id;                  ///< worker id in its health answers
  std::int64_t warmUpMs = 0;  ///< remaining warm-up time in its health answers
  bool hangs = false;         ///< accepts no connection and answers nothing, like an unreachable machine
  bool onUsed = false;        ///< the last send arrived on a reused connection
  vector<string> lastEventIds;
  http::fields lastHead;  ///< head of the last request, also of priming ones
  Script onResume;        ///< for requests with Last-Event-Id
  /// Number of open connections.
  std::size_t connections() const { return open_.size(); }
  /// Shuts all connections down.
  void closeAll() {
    for (std::shared_ptr<tcp::socket> const& s : open_) {
      error_code e;
      s->shutdown(tcp::socket::shutdown_both, e);
    }
  }

 private:
  Task<void> acceptLoop() {
    for (;;) {
      while (hangs) co_await sleepFor(Ms(5));
      tcp::socket taken = co_await acceptor_.async_accept(asio::use_awaitable);
      std::shared_ptr<tcp::socket> const s = std::make_shared<tcp::socket>(std::move(taken));
      open_.insert(s);
      spawnTask(io_, "stand-in connection", serve(s));
    }
  }
  Task<void> serve(std::shared_ptr<tcp::socket> p) {
    co_await answerAll(*p);
    open_.erase(p);
  }
  Task<void> answerAll(tcp::socket& s) {
    beast::flat_buffer buf;
    for (std::size_t n = 0;; ++n) {
      http::request_parser<http::string_body> p;
      p.body_limit(1u << 30);
      error_code e;
      co_await http::async_read_header(s, buf, p, asio::redirect_error(asio::use_awaitable, e));
      if (e) co_return;
      string const id(p.get()["Attempt-Id"].data(), p.get()["Attempt-Id"].size());
      string const resume(p.get()["Last-Event-Id"].data(), p.get()["Last-Event-Id"].size());
      lastHead = p.get();
      if (hangs) co_return co_await untilPeerCloses(s, Ms(5000));
      if (p.get().target() == "/h") {
        co_await answerProbe(s);
        if (resetsProbes) co_return;
        continue;
      }
      bool const primes = p.get().target().ends_with("prime");
      Script const& script = resume.empty() ? script_ : onResume;
      if (primes)
        ++primed;
      else {
        ++sends;
        onUsed = n > 0;
        lastEventIds.push_back(resume);
        if (!script.early.empty()) co_await write(s, script.early, id);
        if (!script.early.empty()) co_await sleepFor(Ms(20));
        if (!script.readsBody) co_return end(s, script.end);
      }
      co_await http::async_read(s, buf, p, asio::redirect_error(asio::use_awaitable, e));
      if (e) co_return;
      if (!primes && script.pause > Ms(0)) co_await sleepFor(script.pause);
      string const answer = primes ? answerText(200, "$ID", "Server-Seal: s\r\n", "own $ID") : script.answer;
      co_await write(s, answer, id);
      if (primes && !script.late.empty()) {
        co_await sleepFor(Ms(2));
        co_await write(s, script.late, id);
      }
      if (primes || script.end == Script::End::keep) continue;
      if (script.end == Script::End::silent) co_await untilPeerCloses(s, Ms(5000));
      co_return end(s, script.end);
    }
  }
  Task<void> answerProbe(tcp::socket& s) {
    ++probes;
    if (resetsProbes) co_return end(s, Script::End::reset);
    string const more = "Server-Id: " + this->id + "\r\nWarm-Up-Ms: " + std::to_string(warmUpMs) + "\r\n";
    co_await write(s, answerText(200, "", more, ""), "");
  }
  Task<void> write(tcp::socket& s, string text, string const& id) {
    for (std::size_t p = 0; (p = text.find("$ID")) != string::npos;) text.replace(p, 3, id);
    error_code e;
    co_await asio::async_write(s, asio::buffer(text), asio::redirect_error(asio::use_awaitable, e));
  }
  Task<void> untilPeerCloses(tcp::socket& s, Ms limit) {
    SocketDeadline deadline(io_, s);
    deadline.expireAt(Clock::now() + limit);
    char byte = 0;
    error_code e;
    while (!e) co_await s.async_read_some(asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, e));
  }
  static void end(tcp::socket& s, Script::End how) {
    if (how == Script::End::reset) s.set_option(asio::socket_base::linger(true, 0));
    s.close();
  }
  asio::io_context& io_;
  Script const& script_;
  tcp::acceptor acceptor_;
  std::set<std::shared_ptr<tcp::socket>> open_;
};

/// What a client received; status 0 if no complete answer arrived.
struct Got {
  int status = 0;
  string body, raw;
  bool closed = false;
};

/// An edge node on loopback between a client and two stand-in workers with the same script.
class EdgeRig {
 public:
  explicit EdgeRig(Script const& script)
      : server_(io, settings().controlAddress(ip), Ms(2000)),
        publisher_(io, settings_, 0),
        workers{{{io, {ip, 17685}, script}, {io, {ip, 17686}, script}}},
        edge_(io, settings_) {
    publisher_.proof = [this] { return UpdatePublisher::Proof{hasMajority, 0, Clock::now()}; };
    publisher_.setConfiguration(version_, configuration(version_, ClientLimits{16384, 33554432}, true));
    for (int n = 0; n < 2; ++n) {
      Worker w;
      w.id = "i-" + std::to_string(n);
      workers[static_cast<std::size_t>(n)].id = w.id;
      w.service = "app";
      w.zone = "z";
      w.address = {ip, 17685 + n};
      w.capacity = 8;
      publisher_.common.put("w/" + w.id, serialize(w));
    }
    server_.on<UpdateRequest>([this](UpdateRequest q) { return publisher_.serve(std::move(q)); });
    server_.on<TakeCredit>([this](TakeCredit) -> Task<TakeCreditReply> {
      ++creditsAsked;
      if (creditDelay > Ms(0)) co_await sleepFor(creditDelay);
      co_return TakeCreditReply{creditVerdict, 100};
    });
    Member member;
    member.id = NodeId(1);
    member.name = "c-1";
    member.ip = ip;
    member.zone = "z";
    publisher_.common.put(string(memberRowPrefix) + "1", serialize(member));
    server_.start();
    edge_.start();
    for (int n = 0; n < 400 && call("/again/prime", "one").status != 200; ++n) run(Ms(5));
  }
  void run(Ms d) {
    io.restart();
    io.run_for(d);
  }
  /// Sends requests until both workers have answered, so that the node has an idle connection to each.
  bool prime() {
    for (int n = 0; n < 200 && !(workers[0].primed && workers[1].primed); ++n) call("/again/prime", "two");
    run(Ms(5));
    return workers[0].primed && workers[1].primed;
  }
  void stopEdge() { edge_.stop(); }
  /// Requests that failed by a fault of the edge node itself.
  std::uint64_t failedRequests() const { return edge_.failedRequests(); }
  std::size_t activeRequests() const { return edge_.activeRequests(); }
  tcp::endpoint outside() const { return {asio::ip::make_address(ip), 17680}; }
  /// Installs a configuration with other limits.
  void changeLimits(ClientLimits const& limits) { install(configuration(++version_, limits, true)); }
  /// Installs a configuration with tenants; "": without any.
  void changeTenants(string const& customers) {
    customers_ = customers;
    install(configuration(++version_, ClientLimits(), true));
  }
  /// Publishes to the edge node what the control plane would after a worker's heartbeat.
  void publishHeartbeat(int number, Ms warmupLeft, std::uint64_t evacuationRevision = 0) {
    string const heartbeat = R"({"service":"app","address":")" + ip + ":" + std::to_string(17685 + number) +
                             R"(","zone":"z","version":"","capacity":8,"state":"ready","warmupLeftMs":)" +
                             std::to_string(warmupLeft.count()) + R"(,"callCount":)" + std::to_string(++heartbeats_) +
                             "}";
    string const id = "i-" + std::to_string(number);
    Worker worker = parseWorkerHeartbeat(id, heartbeat);
    worker.evacuationRevision = evacuationRevision;
    publisher_.common.put("w/" + id, serialize(publishedForm(worker)));
    awaitUpdate();
  }
  /// Starts or ends the evacuation of the zone of all workers.
  void setEvacuation(bool isActive, std::uint64_t revision) {
    publisher_.common.put("z/z", serialize(Evacuation{"z", isActive, revision}));
    awaitUpdate();
  }
  /// The control plane loses its majority, long enough that the edge node's knowledge is no longer recent.
  void loseMajority() {
    hasMajority = false;
    run(settings_.bounds.inTouch / 3 + Ms(100));
  }
  bool hasMajority = true;
  /// The answer of the only credit shard.
  CreditVerdict creditVerdict = CreditVerdict::granted;
  Ms creditDelay{0};
  std::size_t creditsAsked = 0;
  /// Installs a configuration without routes.
  void removeRoutes() { install(configuration(++version_, ClientLimits(), false)); }
  /// The part of the grace period after which a stopping edge node refuses requests.
  Ms untilRefusal() const { return settings_.bounds.grace / 3; }
  std::size_t sends() const { return workers[0].sends + workers[1].sends; }
  /// Sends one request on a new client connection and returns what was received.
  Got call(string path, string const& id, std::size_t bodyBytes = 4, int leftMs = 2000) {
    std::shared_ptr<Got> const got = std::make_shared<Got>();
    bool done = false;
    string q = "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id +
               "\r\nTime-Left-Ms: " + std::to_string(leftMs) + "\r\nContent-Length: " + std::to_string(bodyBytes) +
               "\r\n\r\n" + string(bodyBytes, 'b');
    asio::co_spawn(io, client(std::move(q), got), [&](std::exception_ptr) { done = true; });
    TimePoint const end = Clock::now() + Ms(8000);
    while (!done && Clock::now() < end) {
      io.restart();
      io.run_one_for(Ms(50));
    }
    return *got;
  }
  asio::io_context io{1};

 private:
  Settings const& settings() {
    settings_.nodeName = "e-1";
    settings_.ip = ip;
    settings_.zone = "z";
    settings_.firstInternalPort = 17670;
    settings_.lastInternalPort = 17675;
    settings_.outside = {ip, 17680};
    settings_.readiness = {ip, 17681};
    settings_.seeds = {{ip, 17682}};
    settings_.bounds.grace = Ms(600);
    settings_.bounds.warmUpMargin = 20;
    return settings_;
  }
  void install(string text) {
    publisher_.setConfiguration(version_, std::move(text));
    awaitUpdate();
  }
  void awaitUpdate() {
    std::uint64_t const repliesBefore = publisher_.repliesSent();
    publisher_.notifyAfter(Ms(0));
    for (int turn = 0; turn < 400 && publisher_.repliesSent() == repliesBefore; ++turn) run(Ms(5));
    run(Ms(20));
  }
  static string limitsText(ClientLimits const& limits) {
    return "{\"maxHeaderBytes\":" + std::to_string(limits.maxHeaderBytes) +
           ",\"maxBodyBytes\":" + std::to_string(limits.maxBodyBytes) +
           ",\"headerWaitMs\":" + std::to_string(limits.headerWait.count()) +
           ",\"idleLimitMs\":" + std::to_string(limits.idleLimit.count()) + "}";
  }
  string configuration(std::uint64_t version, ClientLimits const& limits, bool withRoutes) const {
    string routes;
    if (withRoutes)
      for (string_view const kind : {"one_shot", "repeatable", "streaming", "resumable"}) {
        bool const resumes = kind == "resumable";
        string const path = kind == "one_shot" ? "once" : kind == "repeatable" ? "again" : string(kind);
        routes += (routes.empty() ? "" : ",") +
                  ("{\"name\":\"" + path + "\",\"host\":\"shop.example\",\"pathStart\":\"/") + path +
                  "/\",\"kind\":\"" + (resumes ? "streaming" : string(kind)) +
                  "\",\"timeLimitMs\":4000,\"targetMs\":200,\"priority\":0,\"service\":\"app\",\"tries\":2,"
                  "\"sticky\":false,\"resumable\":" +
                  (resumes ? "true" : "false") + ",\"public\":" + (kind == "repeatable" ? "true" : "false") + "}";
      }
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
           "],\"services\":[{\"name\":\"app\",\"healthPath\":\"/h\",\"maxConnections\":100,\"protocol\":\"h1\","
           "\"useTls\":false,\"warmUpS\":3,\"warmupPerS\":2}],\"limits\":" +
           limitsText(limits) + (customers_.empty() ? "" : ",\"customers\":" + customers_) + "}";
  }
  Task<void> client(string q, std::shared_ptr<Got> got) {
    tcp::socket s(io);
    error_code e;
    co_await s.async_connect({asio::ip::make_address(ip), 17680}, asio::redirect_error(asio::use_awaitable, e));
    if (e) co_return;
    co_await asio::async_write(s, asio::buffer(q), asio::redirect_error(asio::use_awaitable, e));
    char piece[65536];
    for (;;) {
      std::size_t const n =
          co_await s.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, e));
      got->closed = static_cast<bool>(e);
      if (e) break;
      got->raw.append(piece, n);
      beast::flat_buffer all;
      all.commit(asio::buffer_copy(all.prepare(got->raw.size()), asio::buffer(got->raw)));
      http::response_parser<http::string_body> whole;
      whole.eager(true);
      whole.put(all.data(), e);
      if (!whole.is_done()) continue;
      got->status = static_cast<int>(whole.get().result_int());
      got->body = whole.get().body();
      co_return;
    }
  }

 public:
  string const ip = loopbackOfThisProcess();

 private:
  Settings settings_;
  RpcServer server_;
  UpdatePublisher publisher_;
  std::uint64_t version_ = 1, heartbeats_ = 0;
  string customers_;

 public:
  std::array<StandIn, 2> workers;

 private:
  EdgeNode edge_;
};

}  // namespace tealshelf
