#include "control/control_node.hpp"

#include "control/call_input.hpp"

namespace tealshelf {

namespace {
/// Orders that wait for their turn: eight of operators may be under way, each handed on by several nodes.
constexpr std::size_t mostOrdersWaiting = 32;
}  // namespace

ControlNode::ControlNode(asio::io_context& io, Settings const& settings)
    : io_(io),
      settings_(settings),
      rpc_(io, Ms(settings.bounds.inTouch / 2)),
      driver_(io, settings, rpc_),
      coordinator_(io, settings, rpc_, driver_),
      table_(Ms(3 * settings.reportEvery), driver_.consensus().self().id),
      server_(io, settings.controlAddress(settings.ip), Ms(settings.bounds.inTouch / 2)),
      http_(
          io, settings.control, [this](HttpCall c) { return handle(std::move(c)); }, 16u << 20,
          Ms(5 * settings.bounds.inTouch)),
      orders_(io, mostOrdersWaiting),
      publisher_(io, settings, 0),
      health_(Ms(settings.bounds.inTouch / 4), WorkerHealth::Rule()) {
  if (!settings.dataFolder.empty()) {
    log_ = std::make_unique<DurableLog>(io, settings.dataFolder + "/workers", diskLimits(settings, 0.15), [this] {
      vector<string> v;
      for (Worker const& w : table_.all()) v.push_back(serialize(w));
      return v;
    });
    for (string const& r : log_->recovered().records) table_.merge(deserialize<Worker>(r), Clock::now());
    table_.fresh();
    noted_ = table_.revision();
    log_->releaseRecovered();
  }
  publisher_.proof = [this] {
    return UpdatePublisher::Proof{driver_.inContactWithMajority() && tableWhole() && !stopping_, 0,
                                  driver_.consensus().majorityContact(Clock::now())};
  };
  driver_.onHeartbeat = [this](HeartbeatMessage const& m) { return onHeartbeat(m); };
  driver_.fillHeartbeat = [this](HeartbeatMessage& m, bool full) { fillHeartbeat(m, full); };
  driver_.onChange = [this] {
    bool updated = false;
    if (std::optional<std::map<string, string>> const v = driver_.consensus().lastKnownValues("configuration")) {
      std::map<string, string>::const_iterator const i = v->find("current");
      if (i != v->end() && i->second != publisher_.configuration()) {
        std::shared_ptr<Configuration const> const c = compileConfiguration(i->second);
        if (c->version > publisher_.configurationVersion()) {
          publisher_.setConfiguration(c->version, i->second);
          for (Route const& m : c->routes)
            if (m.kind == RouteKind::bulk) driver_.consensus().addKeyspace(LotCoordinator::keyspaceOf(m.host));
          logInfo("configuration", "version " + std::to_string(c->version) + " is in force");
          updated = true;
        }
      }
    }
    bool const healthy = publisher_.proof().healthy;
    if (updated || healthy != wasHealthy_ || driver_.consensus().membership().number != membershipNumber_) changed();
    wasHealthy_ = healthy;
  };
  coordinator_.retiring = [this] {
    std::set<string> s;
    std::optional<std::map<string, string>> const v = driver_.consensus().lastKnownValues("members");
    if (v)
      for (std::pair<string const, string> const& p : *v)
        if (p.first.rfind("retire/", 0) == 0) s.insert(p.first.substr(7));
    return s;
  };
}

void ControlNode::start() {
  driver_.start(server_);
  coordinator_.start(server_);
  server_.on<UpdateRequest>([this](UpdateRequest q) { return publisher_.serve(std::move(q)); });
  server_.on<ForwardCall>([this](ForwardCall q) -> Task<CallReply> {
    if (q.budgetMs <= 0) q.budgetMs = callBudgetMs();
    co_return co_await route(std::move(q));
  });
  server_.start();
  http_.start();
  spawnTask(io_, "sweep", sweepLoop());
  logInfo("control", settings_.nodeName + " serves control at " + settings_.control.text());
}

void ControlNode::stop() {
  stopping_ = true;
  driver_.leave();
  http_.stop();
}

void ControlNode::note() {
  if (!log_) return;
  for (Worker const& w : table_.all(noted_)) log_->append(serialize(w));
  noted_ = table_.revision();
  log_->flush();
}

void ControlNode::changed() {
  note();
  for (Worker const& w : table_.since(publishedRevision_)) {
    if (w.gone) {
      publisher_.common.erase("w/" + w.id);
      continue;
    }
    Worker x = w;
    x.callCount = 0;
    x.warmupLeft = 0;
    x.registrar = NodeId();
    x.turn = 0;
    publisher_.common.put("w/" + w.id, serialize(x));
  }
  publishedRevision_ = table_.revision();
  Membership const& g = driver_.consensus().membership();
  membershipNumber_ = g.number;
  std::set<string> named;
  for (Member const& m : g.members) {
    publisher_.common.put("m/" + hex(m.id.value), serialize(m));
    named.insert("m/" + hex(m.id.value));
  }
  vector<string> out;
  for (std::map<string, string>::const_iterator i = publisher_.common.rows().lower_bound("m/");
       i != publisher_.common.rows().end() && i->first[0] == 'm'; ++i)
    if (!named.count(i->first)) out.push_back(i->first);
  for (string const& k : out) publisher_.common.erase(k);
  publisher_.changed(Ms(settings_.bounds.inTouch / 80));
}

/// A register is whole once a majority's registers are in it, or all live workers have sent a beat.
bool ControlNode::tableWhole() const {
  return (table_.size() && tables_.size() + 1 >= driver_.consensus().membership().quorum()) ||
         Clock::now() - started_ > Ms(settings_.reportEvery * 3 / 2);
}

Task<void> ControlNode::sweepLoop() {
  for (;;) {
    co_await sleepFor(Ms(settings_.reportEvery / 4));
    if (driver_.inContactWithMajority() && table_.sweep(Clock::now())) changed();
    listNodes();
    if (driver_.inContactWithMajority()) judge();
  }
}

Task<CallReply> ControlNode::servers(ForwardCall q) {
  string const id = idInPath(q.path, "/servers/");
  if (q.verb != "PUT" && q.verb != "DELETE") throw Error(ErrorCode::methodNotAllowed);
  if (!driver_.inContactWithMajority()) throw Error(ErrorCode::notReady);
  Worker w;
  if (q.verb == "PUT")
    w = readBeat(id, q.body);
  else {
    if (Worker const* const had = table_.find(id)) w = *had;
    w.id = id;
    w.gone = true;
  }
  w.registrar = driver_.consensus().self().id;
  bool const updated = table_.merge(w, Clock::now());
  if (updated) {
    changed();
    HeartbeatMessage m;
    m.heartbeat = driver_.consensus().heartbeat(Clock::now());
    m.heartbeat.holdsAllKeys = m.heartbeat.holdsAllKeys && !stopping_;
    m.workers = {*table_.find(id)};
    std::shared_ptr<std::size_t> const left = std::make_shared<std::size_t>(0);
    std::shared_ptr<asio::steady_timer> const t =
        std::make_shared<asio::steady_timer>(io_, Ms(settings_.bounds.drain / 5));
    for (Member const& x : driver_.consensus().membership().members) {
      if (x.id == driver_.consensus().self().id || !driver_.consensus().isAlive(x.id, Clock::now())) continue;
      ++*left;
      asio::co_spawn(io_, rpc_.call(settings_.controlAddress(x.ip), m, Ms(settings_.bounds.drain / 5)),
                     [left, t](std::exception_ptr, HeartbeatReply) {
                       if (!--*left) t->cancel();
                     });
    }
    error_code e;
    if (*left && (w.draining || w.gone)) co_await t->async_wait(asio::redirect_error(asio::use_awaitable, e));
  }
  // Also where it was known: a beat that another node told of may not be synced here yet.
  if (log_ && (w.draining || w.gone)) co_await log_->waitSynced();
  std::optional<Address> const to = w.gone || stopping_ ? std::nullopt : registrarOf(w);
  co_return CallReply{200, to ? "{\"reportTo\":\"" + to->text() + "\"}" : "{}"};
}

}  // namespace tealshelf
