#include "registry/driver.hpp"

namespace tealshelf {

namespace {
Identity ownIdentity(Boot const& b, bool& fresh) {
  if (!b.dataFolder.empty()) return identityOf(b.dataFolder, fresh);
  fresh = true;
  return Identity(randomId());
}
}  // namespace

Driver::Driver(asio::io_context& io, Boot const& boot, Rpc& rpc)
    : io_(io),
      boot_(boot),
      rpc_(rpc),
      period_(boot.bounds.inTouch / 20),
      id_(ownIdentity(boot, fresh_)),
      reg_(Member{id_, boot.nodeName, boot.ip, boot.zone, false, !boot.dataFolder.empty()},
           Registry::Times{Ms(boot.bounds.inTouch / 4), Ms(boot.bounds.inTouch / 30)}) {
  if (!boot.dataFolder.empty()) {
    std::size_t const turn = static_cast<std::size_t>(std::max<std::int64_t>(boot.diskMb, 8)) * (1u << 20) / 8;
    log_ = std::make_unique<DiskLog>(io, boot.dataFolder + "/registry", turn, [this] { return reg_.snapshot(); });
    for (string const& r : log_->found().records) reg_.replay(r);
    if (log_->found().torn) warn("registry", "a torn tail of " + std::to_string(log_->found().torn) + " bytes was cut");
    for (string const& c : log_->found().corrupt) warn("registry", "a corrupt record was passed over: " + c);
    log_->forget();
  }
  reg_.know("charter");
  reg_.know("members");
}

void Driver::start(RpcServer& server) {
  server.on<MailMsg>([this](MailMsg m) -> Task<Done> {
    for (Mail const& x : m.mails) reg_.mail(x, Clock::now());
    pump();
    co_return Done{};
  });
  server.on<PingMsg>([this](PingMsg m) -> Task<Done> {
    Moment const now = Clock::now();
    if (m.group.no > reg_.group().no && m.group.no.v) reg_.install(m.group, false);
    reg_.heard(m.ping, now);
    PingMsg& kept = others_[m.ping.self.id].first;
    kept = PingMsg();
    kept.ping = m.ping;
    others_[m.ping.self.id].second = now;
    if (onPing) {
      bool const differs = onPing(m);
      int& n = differ_[m.ping.self.ip];
      n = differs ? n + 1 : 0;
    }
    reg_.tick(now);
    pump();
    // One that doesn't hear this node yet gets a ping at once, so that a start takes no whole period.
    bool const known = std::find(m.ping.hears.begin(), m.ping.hears.end(), id_) != m.ping.hears.end();
    Moment& back = backAt_[m.ping.self.ip];
    if (!known && now - back > period_ / 5) {
      back = now;
      rpc_.tellTo(at(m.ping.self.ip), pingFor(m.ping.group, true));
    }
    if (onChange) onChange();
    co_return Done{};
  });
  server.on<Hello>([this](Hello) -> Task<HelloReply> {
    co_return HelloReply{reg_.self(), reg_.group(), boot_.firstBoot, !boot_.dataFolder.empty(), reg_.copied()};
  });
  server.on<CopyAll>([this](CopyAll q) -> Task<CopyReply> {
    if (q.group != reg_.group().no || !reg_.copied()) throw Error(Code::notMember);
    CopyReply r{reg_.group(), reg_.dump()};
    if (log_) co_await log_->settled();
    co_return r;
  });
  server.on<JoinGroup>([this](JoinGroup q) -> Task<Done> { co_return Done{co_await joined(q)}; });
  spawn(io_, "registry tick", tickLoop());
  spawn(io_, "registry ping", pingLoop());
  spawn(io_, "registry join", joinLoop());
  spawn(io_, "registry prune", pruneLoop());
}

void Driver::pump() {
  std::shared_ptr<Batch> const b = std::make_shared<Batch>(reg_.take());
  bool news = false;
  for (string const& s : {string("charter"), string("members")}) {
    if (!reg_.owns(s))
      owned_.erase(s);
    else
      news = owned_.insert(s).second || news;
  }
  if (news) asio::post(io_, [this] { pingAll(); });
  if (b->records.empty() && b->mails.empty() && b->outcomes.empty()) return;
  if (log_)
    for (string const& r : b->records) log_->append(r);
  if (b->sync && log_)
    log_->synced([this, b] { send(b); });
  else
    send(b);
}

void Driver::send(std::shared_ptr<Batch> b) {
  std::map<Identity, MailMsg> by;
  vector<Mail> own;
  for (Mail& m : b->mails) {
    if (m.to == id_)
      own.push_back(std::move(m));
    else
      by[m.to].mails.push_back(std::move(m));
  }
  for (std::pair<Identity const, MailMsg>& p : by) {
    Member const* const m = reg_.group().find(p.first);
    if (m) rpc_.tellTo(at(m->ip), p.second);
  }
  for (Outcome const& o : b->outcomes) {
    std::map<std::uint64_t, std::shared_ptr<Wait>>::iterator const w = waits_.find(o.op);
    if (w == waits_.end()) {
      early_[o.op] = o.ok;
      continue;
    }
    w->second->done = true;
    w->second->ok = o.ok;
    w->second->timer.cancel();
  }
  if (!b->outcomes.empty() && onChange) onChange();
  if (own.empty()) return;
  asio::post(io_, [this, own = std::move(own)] {
    for (Mail const& m : own) reg_.mail(m, Clock::now());
    pump();
  });
}

Task<bool> Driver::await(std::uint64_t op, Ms limit) {
  std::shared_ptr<Wait> const w = std::make_shared<Wait>(io_);
  w->timer.expires_after(limit);
  waits_[op] = w;
  pump();
  if (std::map<std::uint64_t, bool>::iterator const e = early_.find(op); e != early_.end()) {
    w->done = true;
    w->ok = e->second;
    early_.erase(e);
  }
  error_code e;
  if (!w->done) co_await w->timer.async_wait(asio::redirect_error(asio::use_awaitable, e));
  waits_.erase(op);
  co_return w->ok;
}
Task<bool> Driver::propose(string shelf, vector<Registry::Change> changes) {
  std::uint64_t const op = reg_.propose(shelf, std::move(changes), Clock::now());
  bool const ok = co_await await(op, std::chrono::hours(24));
  if (ok && (shelf == "charter" || shelf == "members")) pingAll();
  co_return ok;
}
Task<bool> Driver::confirm(string shelf, Ms limit) {
  co_return co_await await(reg_.confirm(shelf, Clock::now()), limit);
}

std::optional<Addr> Driver::ownerOf(string const& shelf) const {
  Member const* const m = reg_.wanted(shelf, Clock::now());
  if (!m) return std::nullopt;
  return at(m->ip);
}

PingMsg Driver::pingFor(GroupNo theirs, bool full) {
  PingMsg m;
  m.ping = reg_.ping(Clock::now());
  if (leaving_) m.ping.copied = false;
  if (fillPing) fillPing(m, full);
  if (theirs < reg_.group().no) m.group = reg_.group();
  return m;
}

void Driver::pingAll() {
  Moment const now = Clock::now();
  ++pings_;
  PingMsg m = pingFor(reg_.group().no, false);
  std::optional<PingMsg> whole;
  std::map<string, GroupNo> to;
  for (Member const& x : reg_.group().members)
    if (x.id != id_) to[x.ip] = GroupNo(0);
  if (!reg_.group().find(id_))
    for (Addr const& s : boot_.seeds)
      if (s.ip != boot_.ip) to[s.ip] = GroupNo(0);
  for (std::pair<Identity const, std::pair<PingMsg, Moment>> const& o : others_) {
    string const& ip = o.second.first.ping.self.ip;
    if (now - o.second.second < Ms(boot_.bounds.inTouch) && ip != boot_.ip) to[ip] = o.second.first.ping.group;
  }
  for (std::pair<string const, GroupNo> const& p : to) {
    // The whole register goes to those that lately had another one, and to all after a start.
    bool const full = differ_[p.first] >= 2 || now - started_ < Ms(boot_.bounds.inTouch / 2);
    if (full) differ_[p.first] = 0;
    if (full && !whole) whole = pingFor(reg_.group().no, true);
    PingMsg& x = full ? *whole : m;
    x.group = p.second < reg_.group().no ? reg_.group() : Group();
    pingOne(p.first, x);
  }
}

/// A ping wants an answer, so that a connection on which nothing comes through is found and opened
/// anew, even where all else that goes over it is told without waiting.
void Driver::pingOne(string const& ip, PingMsg const& m) {
  if (!pinging_.insert(ip).second) {
    rpc_.tellTo(at(ip), m);
    return;
  }
  asio::co_spawn(io_, rpc_.ask(at(ip), m, Ms(boot_.bounds.inTouch / 8)),
                 [this, ip](std::exception_ptr, Done) { pinging_.erase(ip); });
}

Task<void> Driver::tickLoop() {
  for (;;) {
    co_await pause(Ms(boot_.bounds.inTouch / 60));
    reg_.tick(Clock::now());
    pump();
  }
}
Task<void> Driver::pingLoop() {
  for (;;) {
    pingAll();
    if (onChange) onChange();
    co_await pause(period_);
  }
}

}  // namespace tealshelf
