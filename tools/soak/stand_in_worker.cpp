#include "tools/soak/stand_in_worker.hpp"

#include "tools/soak/configurations.hpp"

namespace tealshelf::soak {

namespace {
constexpr double refusedShare = 0.01, brokenOffShare = 0.01, lostHeartbeatShare = 0.05;
constexpr Ms heartbeatLimit{1000};
constexpr Ms minWork{5}, maxWork{25}, maxEventPause{12};
constexpr int backlog = 256;

string headerOf(HttpRequest const& request, string_view name) {
  beast::string_view const value = request[beast::string_view(name.data(), name.size())];
  return string(value.data(), value.size());
}

string targetOf(HttpRequest const& request) {
  return string(request.target().data(), request.target().size());
}

void resetConnection(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

Task<bool> writeAll(tcp::socket& socket, string bytes) {
  error_code error;
  co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

Task<bool> writeChunk(tcp::socket& socket, string bytes) {
  error_code error;
  co_await asio::async_write(socket, http::make_chunk(asio::buffer(bytes)),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}
}  // namespace

StandInWorker::StandInWorker(asio::io_context& io, WorkerPlan plan, Ledger& ledger, Verdict& verdict,
                             std::uint64_t seed)
    : io_(io),
      plan_(std::move(plan)),
      ledger_(ledger),
      verdict_(verdict),
      random_(seed, "worker " + plan_.name),
      acceptor_(io) {}

void StandInWorker::start() {
  ++incarnation_;
  id_ = "i-" + plan_.name + "-" + std::to_string(incarnation_);
  running_ = 0;
  heartbeatCount_ = 0;
  warmUpArrivals_.clear();
  if (incarnation_ > 1) beginWarmUp();
  acceptor_.open(tcp::v4());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpointOf(plan_.address));
  acceptor_.listen(backlog);
  spawnTask(io_, "worker", acceptLoop(incarnation_));
  spawnTask(io_, "heartbeats", heartbeats(incarnation_));
}

void StandInWorker::crash() {
  ++incarnation_;
  error_code ignored;
  acceptor_.close(ignored);
  for (Socket const& socket : std::exchange(open_, {})) resetConnection(*socket);
}

Task<void> StandInWorker::acceptLoop(int incarnation) {
  while (incarnation == incarnation_) {
    error_code error;
    tcp::socket accepted = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error || incarnation != incarnation_) co_return;
    Socket const socket = std::make_shared<tcp::socket>(std::move(accepted));
    open_.insert(socket);
    spawnTask(io_, "worker connection", serve(socket, incarnation));
  }
}

Task<void> StandInWorker::serve(Socket socket, int incarnation) {
  beast::flat_buffer buffer;
  bool more = true;
  while (more && incarnation == incarnation_) {
    HttpRequest request;
    error_code error;
    co_await http::async_read(*socket, buffer, request, asio::redirect_error(asio::use_awaitable, error));
    if (error || incarnation != incarnation_) break;
    more = co_await handle(*socket, request, incarnation);
  }
  error_code ignored;
  socket->close(ignored);
  if (incarnation == incarnation_) open_.erase(socket);
}

Task<bool> StandInWorker::handle(tcp::socket& socket, HttpRequest const& request, int incarnation) {
  string const target = targetOf(request);
  if (request.method() == http::verb::get && target == "/health") {
    HttpReply answer{200, "{}", "application/json", {{"Server-Id", id_}, {"Server-Load", load()}}};
    answer.headers.emplace_back("Warm-Up-Ms", std::to_string(warmUpLeft().count()));
    verdict_.count("health questions");
    co_return co_await reply(socket, std::move(answer));
  }
  if (request.method() == http::verb::get && target == "/report") {
    HttpReply answer{200,
                     "{\"phase\":\"both\",\"models\":[],\"loadLevel\":false,\"callCount\":0,\"queued\":0}",
                     "application/json",
                     {}};
    co_return co_await reply(socket, std::move(answer));
  }
  string const id = headerOf(request, "Attempt-Id"), wanted = headerOf(request, "Wanted-Server");
  if (!headerOf(request, "Authorization").empty())
    verdict_.fail("UNASKED", id + " reached a worker with its client's API key");
  if (wanted.empty() || wanted == id_) countArrival();
  std::optional<int> refusedWith;
  if (!wanted.empty() && wanted != id_)
    refusedWith = 421;
  else if (id.empty())
    refusedWith = 400;
  else if (running_ >= plan_.capacity || random_.chance(refusedShare))
    refusedWith = 503;
  if (refusedWith) {
    HttpReply answer = refusal(*refusedWith, id);
    co_return co_await reply(socket, std::move(answer));
  }
  ++running_;
  bool const more = co_await runRequest(socket, request, incarnation);
  if (incarnation == incarnation_) --running_;
  co_return more;
}

Task<bool> StandInWorker::runRequest(tcp::socket& socket, HttpRequest const& request, int incarnation) {
  string const id = headerOf(request, "Attempt-Id"), lastEventId = headerOf(request, "Last-Event-Id");
  int const from = static_cast<int>(parseNumber(lastEventId).value_or(0));
  TrackedRequest* const tracked = ledger_.beginRun(id, targetOf(request), request.body(), from);
  if (!tracked) co_return false;
  if (serviceOf(tracked->path) != plan_.service)
    verdict_.fail("ROUTE", id + " under " + tracked->path + " reached a worker of the service " + plan_.service);
  verdict_.count(tracked->kind == RequestKind::lotItem ? "items run" : "requests run");
  string const seal = id_ + "." + std::to_string(tracked->runs);
  tracked->seals.insert(seal);
  co_await sleepFor(random_.duration(minWork, maxWork));
  if (incarnation != incarnation_) {
    tracked->brokenOff = true;
    co_return false;
  }
  if (tracked->verdict == WorkerVerdict::completes && tracked->isStream())
    co_return co_await streamEvents(socket, *tracked, seal, from, incarnation);
  if (random_.chance(brokenOffShare)) {
    tracked->brokenOff = true;
    resetConnection(socket);
    co_return false;
  }
  co_return co_await sendPlainAnswer(socket, *tracked, seal);
}

Task<bool> StandInWorker::sendPlainAnswer(tcp::socket& socket, TrackedRequest& request, string seal) {
  HttpReply answer{200, request.plainAnswer(), "text/plain", {}};
  if (request.verdict == WorkerVerdict::alwaysFails) answer.status = 500;
  if (request.verdict == WorkerVerdict::impossible) answer.status = 422;
  answer.headers = {{"Attempt-Id", request.id}, {"Server-Seal", seal}, {"Server-Load", load()}};
  co_return co_await reply(socket, std::move(answer));
}

Task<bool> StandInWorker::streamEvents(tcp::socket& socket, TrackedRequest& request, string seal, int lastEventId,
                                       int incarnation) {
  bool const breaks = random_.chance(brokenOffShare);
  int const breaksAt = breaks ? random_.between(lastEventId + 1, request.events + 1) : request.events + 1;
  string const head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.id + "\r\nServer-Seal: " + seal +
                      "\r\nServer-Load: " + load() +
                      "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  bool open = co_await writeAll(socket, head);
  for (int number = lastEventId + 1; open && number <= request.events; ++number) {
    string const event = "id: " + std::to_string(number) + "\ndata: " + request.eventText(number) + "\n\n";
    bool const breaksHere = breaks && number == breaksAt;
    string const sent = breaksHere ? event.substr(0, event.size() / 2) : event;
    open = co_await writeChunk(socket, sent);
    if (breaksHere) break;
    co_await sleepFor(random_.duration(Ms(1), maxEventPause));
    if (incarnation != incarnation_) open = false;
  }
  if (!open || breaks) {
    request.brokenOff = true;
    resetConnection(socket);
    co_return false;
  }
  co_return co_await writeAll(socket, "0\r\n\r\n");
}

Task<bool> StandInWorker::reply(tcp::socket& socket, HttpReply answer) {
  http::response<http::string_body> response = makeResponse(std::move(answer), 11, true);
  error_code error;
  co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

HttpReply StandInWorker::refusal(int status, string const& id) const {
  HttpReply answer{status, "", "text/plain", {{"Not-Run", "1"}, {"Server-Load", load()}}};
  if (!id.empty()) answer.headers.emplace_back("Attempt-Id", id);
  return answer;
}

void StandInWorker::beginUnreportedWarmUp(Ms duration) {
  unreportedWarmUpUntil_ = Clock::now() + duration;
}

Ms StandInWorker::warmUpLeft() const {
  return std::max(Ms(0), std::chrono::duration_cast<Ms>(warmUpUntil_ - Clock::now()));
}

void StandInWorker::countArrival() {
  TimePoint const now = Clock::now();
  if (now >= std::max(warmUpUntil_, unreportedWarmUpUntil_)) return;
  verdict_.count("requests at workers that warm up");
  warmUpArrivals_.push_back(now);
  while (now - warmUpArrivals_.front() > std::chrono::seconds(1)) warmUpArrivals_.pop_front();
  if (static_cast<double>(warmUpArrivals_.size()) <= plan_.bounds.warmUpMost()) return;
  verdict_.fail("FAILBACK", id_ + " got at least " + std::to_string(warmUpArrivals_.size()) +
                                " requests in one second during its warm-up");
  warmUpArrivals_.clear();
}

string StandInWorker::load() const {
  return std::to_string(running_) + ",0," + std::to_string(plan_.capacity);
}

Task<void> StandInWorker::heartbeats(int incarnation) {
  Address to = random_.pick(plan_.controls);
  while (incarnation == incarnation_) {
    bool const acknowledged = co_await sendHeartbeat(to);
    if (!acknowledged) {
      to = random_.pick(plan_.controls);
      co_await sleepFor(plan_.bounds.reportEvery / 6);
    } else {
      co_await sleepFor(plan_.bounds.reportEvery);
    }
  }
}

/// Sends one heartbeat and sets the address for the next one from the answer.
Task<bool> StandInWorker::sendHeartbeat(Address& to) {
  HttpRequest request = makeRequest(http::verb::put, "/servers/" + id_, to.text());
  request.body() = "{\"service\":\"" + plan_.service + "\",\"address\":\"" + plan_.address.text() + "\",\"zone\":\"" +
                   plan_.zone + "\",\"version\":\"v1\",\"capacity\":" + std::to_string(plan_.capacity) +
                   ",\"state\":\"ready\",\"warmupLeftMs\":" + std::to_string(warmUpLeft().count()) +
                   ",\"callCount\":" + std::to_string(++heartbeatCount_) + "}";
  HttpAnswer const answer = co_await callHttp(io_, to, std::move(request), heartbeatLimit);
  if (!answer.complete || answer.status / 100 != 2 || random_.chance(lostHeartbeatShare)) co_return false;
  string const mark = "\"reportTo\":\"";
  std::size_t const position = answer.body.find(mark);
  if (position == string::npos) co_return true;
  std::size_t const begin = position + mark.size();
  string_view const text = string_view(answer.body).substr(begin, answer.body.find('"', begin) - begin);
  to = parseAddress(text).value_or(to);
  co_return true;
}

}  // namespace tealshelf::soak
