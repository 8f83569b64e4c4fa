#include "registry/control_node.hpp"

namespace tealshelf {

ControlNode::ControlNode(asio::io_context& io, Boot const& boot)
    : io_(io),
      boot_(boot),
      rpc_(io, Ms(boot.bounds.inTouch / 2)),
      driver_(io, boot, rpc_),
      keeper_(io, boot, rpc_, driver_),
      table_(Ms(3 * boot.reportEvery), driver_.reg().self().id),
      server_(io, boot.controlAt(boot.ip), Ms(boot.bounds.inTouch / 2)),
      http_(
          io, boot.control, [this](Call c) { return handle(std::move(c)); }, 16u << 20, Ms(5 * boot.bounds.inTouch)),
      hub_(io, boot, 0),
      health_(Ms(boot.bounds.inTouch / 4), WorkerHealth::Rule()) {
  if (!boot.dataFolder.empty()) {
    log_ = std::make_unique<DiskLog>(io, boot.dataFolder + "/workers",
                                     static_cast<std::size_t>(std::max<std::int64_t>(boot.diskMb, 8)) * (1u << 20) / 32,
                                     [this] {
                                       vector<string> v;
                                       for (Worker const& w : table_.all()) v.push_back(packed(w));
                                       return v;
                                     });
    for (string const& r : log_->found().records) table_.merge(unpacked<Worker>(r), Clock::now());
    table_.fresh();
    noted_ = table_.rev();
    log_->forget();
  }
  hub_.proof = [this] {
    return NewsHub::Proof{driver_.healthy() && tableWhole() && !stopping_, 0, driver_.reg().provenAt(Clock::now())};
  };
  driver_.onPing = [this](PingMsg const& m) { return onPing(m); };
  driver_.fillPing = [this](PingMsg& m, bool full) { fillPing(m, full); };
  driver_.onChange = [this] {
    bool news = false;
    if (std::optional<std::map<string, string>> const v = driver_.reg().settled("charter")) {
      std::map<string, string>::const_iterator const i = v->find("current");
      if (i != v->end() && i->second != hub_.charter()) {
        std::shared_ptr<Charter const> const c = compileCharter(i->second);
        if (c->version > hub_.charterVersion()) {
          hub_.setCharter(c->version, i->second);
          for (Route const& m : c->routes)
            if (m.kind == RouteKind::bulk) driver_.reg().know(LotKeeper::shelfOf(m.host));
          tell("charter", "version " + std::to_string(c->version) + " is in force");
          news = true;
        }
      }
    }
    bool const healthy = hub_.proof().healthy;
    if (news || healthy != wasHealthy_ || driver_.reg().group().no != groupNo_) changed();
    wasHealthy_ = healthy;
  };
  keeper_.retiring = [this] {
    std::set<string> s;
    std::optional<std::map<string, string>> const v = driver_.reg().settled("members");
    if (v)
      for (std::pair<string const, string> const& p : *v)
        if (p.first.rfind("retire/", 0) == 0) s.insert(p.first.substr(7));
    return s;
  };
}

void ControlNode::start() {
  driver_.start(server_);
  keeper_.start(server_);
  server_.on<NewsAsk>([this](NewsAsk q) { return hub_.serve(std::move(q)); });
  server_.on<ForwardCall>([this](ForwardCall q) -> Task<CallReply> {
    if (q.path.rfind("/settings", 0) == 0) co_return co_await configurationCall(std::move(q));
    co_return co_await retire(std::move(q));
  });
  server_.start();
  http_.start();
  spawn(io_, "sweep", sweepLoop());
  tell("control", boot_.nodeName + " serves control at " + boot_.control.text());
}

void ControlNode::stop() {
  stopping_ = true;
  driver_.leave();
  http_.stop();
}

void ControlNode::note() {
  if (!log_) return;
  for (Worker const& w : table_.all(noted_)) log_->append(packed(w));
  noted_ = table_.rev();
  log_->synced([] {});
}

void ControlNode::changed() {
  note();
  for (Worker const& w : table_.since(booked_)) {
    if (w.gone) {
      hub_.common.erase("w/" + w.id);
      continue;
    }
    Worker x = w;
    x.callCount = 0;
    x.warmupLeft = 0;
    x.hearer = Identity();
    x.turn = 0;
    hub_.common.put("w/" + w.id, packed(x));
  }
  booked_ = table_.rev();
  Group const& g = driver_.reg().group();
  groupNo_ = g.no;
  std::set<string> named;
  for (Member const& m : g.members) {
    hub_.common.put("m/" + hex(m.id.v), packed(m));
    named.insert("m/" + hex(m.id.v));
  }
  vector<string> out;
  for (std::map<string, string>::const_iterator i = hub_.common.rows().lower_bound("m/");
       i != hub_.common.rows().end() && i->first[0] == 'm'; ++i)
    if (!named.count(i->first)) out.push_back(i->first);
  for (string const& k : out) hub_.common.erase(k);
  hub_.changed(Ms(boot_.bounds.inTouch / 80));
}

/// A register is whole once a majority's registers are in it, or all live workers have sent a beat.
bool ControlNode::tableWhole() const {
  return (table_.size() && tables_.size() + 1 >= driver_.reg().group().most()) ||
         Clock::now() - started_ > Ms(boot_.reportEvery * 3 / 2);
}

Task<void> ControlNode::sweepLoop() {
  for (;;) {
    co_await pause(Ms(boot_.reportEvery / 4));
    if (driver_.healthy() && table_.sweep(Clock::now())) changed();
    listNodes();
    if (driver_.healthy()) judge();
  }
}

Task<CallAnswer> ControlNode::handle(Call c) {
  ForwardCall q{c.verb, c.path, c.head("If-Match"), std::move(c.body), 0};
  CallReply r{404, ""};
  if (c.path.rfind("/servers/", 0) == 0)
    r = co_await servers(std::move(q));
  else if (c.path == "/settings")
    r = co_await configurationCall(std::move(q));
  else if (c.path.rfind("/retire/", 0) == 0)
    r = co_await retire(std::move(q));
  co_return CallAnswer{r.status, r.body, "application/json", {}};
}

Task<CallReply> ControlNode::servers(ForwardCall q) {
  string const id = q.path.substr(9);
  if (id.empty()) throw Error(Code::badBeat);
  if (!driver_.healthy()) throw Error(Code::noQuorum);
  Worker w;
  if (q.verb == "PUT")
    w = readBeat(id, q.body);
  else if (q.verb == "DELETE") {
    if (Worker const* const had = table_.find(id)) w = *had;
    w.id = id;
    w.gone = true;
  } else
    throw Error(Code::badBeat);
  w.hearer = driver_.reg().self().id;
  bool const news = table_.merge(w, Clock::now());
  if (news) {
    changed();
    PingMsg m;
    m.ping = driver_.reg().ping(Clock::now());
    m.ping.copied = m.ping.copied && !stopping_;
    m.workers = {*table_.find(id)};
    std::shared_ptr<std::size_t> const left = std::make_shared<std::size_t>(0);
    std::shared_ptr<asio::steady_timer> const t = std::make_shared<asio::steady_timer>(io_, Ms(boot_.bounds.drain / 5));
    for (Member const& x : driver_.reg().group().members) {
      if (x.id == driver_.reg().self().id || !driver_.reg().alive(x.id, Clock::now())) continue;
      ++*left;
      asio::co_spawn(io_, rpc_.ask(boot_.controlAt(x.ip), m, Ms(boot_.bounds.drain / 5)),
                     [left, t](std::exception_ptr, Done) {
                       if (!--*left) t->cancel();
                     });
    }
    if (log_ && (w.draining || w.gone)) co_await log_->settled();
    error_code e;
    if (*left && (w.draining || w.gone)) co_await t->async_wait(asio::redirect_error(asio::use_awaitable, e));
  }
  std::optional<Addr> const to = w.gone || stopping_ ? std::nullopt : hearerOf(w);
  co_return CallReply{200, to ? "{\"reportTo\":\"" + to->text() + "\"}" : "{}"};
}

/// Hands a call to the owner of a shelf if that is another node.
Task<std::optional<CallReply>> ControlNode::elsewhere(string const& shelf, ForwardCall q) {
  Moment const until = Clock::now() + Ms(boot_.bounds.confirmWithin / 8);
  while (!driver_.reg().owns(shelf)) {
    std::optional<Addr> const o = driver_.ownerOf(shelf);
    if (o && o->ip != boot_.ip && q.hops < 2) {
      ++q.hops;
      co_return co_await rpc_.ask(*o, q, Ms(boot_.bounds.confirmWithin / 5));
    }
    if (Clock::now() > until) throw Error(Code::noOwner);
    co_await pause(Ms(boot_.bounds.inTouch / 100));
  }
  co_return std::nullopt;
}

Task<CallReply> ControlNode::configurationCall(ForwardCall q) {
  if (q.verb != "PUT" && q.verb != "GET") co_return CallReply{405, ""};
  if (std::optional<CallReply> r = co_await elsewhere("charter", q)) co_return *r;
  if (q.verb == "PUT") co_return co_await putConfiguration(std::move(q));
  if (!co_await driver_.confirm("charter", Ms(boot_.bounds.inTouch / 3))) throw Error(Code::noQuorum);
  std::map<string, string> const& v = driver_.reg().view("charter");
  std::map<string, string>::const_iterator const i = v.find("current");
  if (i == v.end()) co_return CallReply{404, "{}"};
  co_return CallReply{200, i->second};
}

Task<CallReply> ControlNode::putConfiguration(ForwardCall q) {
  while (changing_) co_await pause(Ms(3));
  changing_ = true;
  struct Unlock {
    bool& b;
    ~Unlock() { b = false; }
  } const u{changing_};
  // The first charter waits a while for a group that bears the losses it should.
  Moment const until = started_ + Ms(boot_.bounds.inTouch);
  while (!driver_.wide() && Clock::now() < until && !driver_.reg().view("charter").count("current"))
    co_await pause(Ms(boot_.bounds.inTouch / 60));
  if (!co_await driver_.confirm("charter", Ms(boot_.bounds.inTouch / 3))) throw Error(Code::noQuorum);
  std::map<string, string> const& v = driver_.reg().view("charter");
  std::map<string, string>::const_iterator const i = v.find("current");
  std::uint64_t current = 0;
  if (i != v.end()) {
    if (i->second == q.body) co_return CallReply{200, "{}"};
    current = compileCharter(i->second)->version;
  }
  std::shared_ptr<Charter const> c;
  try {
    c = compileCharter(q.body);
  } catch (Error const& x) {
    tell("charter", string("a charter was refused: ") + x.what());
    throw;
  }
  std::uint64_t on = 0;
  if (!readNumber(q.ifMatch, on) || on != current) throw Error(Code::lostRace, std::to_string(current));
  if (c->version <= current) throw Error(Code::oldVersion, std::to_string(c->version));
  vector<Registry::Change> cs(1, Registry::Change{"current", q.body, false});
  if (!co_await driver_.propose("charter", std::move(cs))) throw Error(Code::noQuorum);
  driver_.onChange();
  co_return CallReply{200, "{}"};
}

Task<CallReply> ControlNode::retire(ForwardCall q) {
  string const node = q.path.substr(8);
  if (std::optional<CallReply> r = co_await elsewhere("members", q)) co_return *r;
  if (!co_await driver_.confirm("members", Ms(boot_.bounds.inTouch / 3))) throw Error(Code::noQuorum);
  bool const asked = driver_.reg().view("members").count("retire/" + node) != 0;
  if (!asked && !keeper_.knownStore(node)) throw Error(Code::unknownNode, node);
  if (q.verb == "POST" && !asked) {
    std::size_t left = 0;
    std::set<string> const going = keeper_.retiring();
    for (StoreRef const& s : keeper_.liveStores(Clock::now()))
      if (s.name != node && !going.count(s.name)) ++left;
    if (left < static_cast<std::size_t>(boot_.surviveMachines) + 1) throw Error(Code::tooFewLeft);
    vector<Registry::Change> cs(1, Registry::Change{"retire/" + node, "1", false});
    if (!co_await driver_.propose("members", std::move(cs))) throw Error(Code::noQuorum);
    tell("control", node + " is to be emptied");
  }
  if (q.verb == "POST") co_return CallReply{200, "{}"};
  bool finished = false;
  if (asked) {
    std::uint64_t const n = co_await keeper_.reliesOn(node);
    finished = n == 0;
  }
  co_return CallReply{200, finished ? "{\"state\":\"finished\"}" : "{\"state\":\"serving\"}"};
}

}  // namespace tealshelf
