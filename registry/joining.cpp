#include "registry/driver.hpp"

namespace tealshelf {

Task<bool> Driver::found() {
  Ms const limit(boot_.bounds.inTouch / 6);
  Group g;
  g.no = GroupNo(1);
  bool seed = false;
  for (Addr const& s : boot_.seeds) {
    if (s.ip == boot_.ip) {
      g.members.push_back(reg_.self());
      seed = true;
      continue;
    }
    HelloReply r;
    try {
      Hello const ask{reg_.self()};
      r = co_await rpc_.ask(at(s.ip), ask, limit);
    } catch (Error const& x) {
      say(Level::debug, "registry", s.text() + ": " + x.what());
      co_return false;
    }
    if (r.group.no.v) {
      reg_.install(r.group, false);
      co_return true;
    }
    if (!r.founding) co_return false;
    g.members.push_back(r.self);
  }
  if (!seed || !boot_.firstBoot) co_return false;
  std::sort(g.members.begin(), g.members.end(), [](Member const& a, Member const& b) { return a.ip < b.ip; });
  g.oldSize = g.members.size();
  for (Member& m : g.members) m.founder = true;
  reg_.install(g, true);
  tell("registry", "the group is founded with " + std::to_string(g.members.size()) + " disks");
  co_return true;
}

Task<bool> Driver::copyAll() {
  Group const g = reg_.group();
  std::size_t const need = g.oldSize / 2 + 1;
  struct Gather {
    explicit Gather(asio::io_context& io) : timer(io, Moment::max()) {}
    asio::steady_timer timer;
    vector<CopyReply> got;
    std::size_t left = 0;
  };
  std::shared_ptr<Gather> const all = std::make_shared<Gather>(io_);
  for (Member const& m : g.members) {
    if (m.id == id_) continue;
    ++all->left;
    asio::co_spawn(io_, rpc_.ask(at(m.ip), CopyAll{g.no}, Ms(boot_.bounds.inTouch / 2)),
                   [all, need](std::exception_ptr x, CopyReply r) {
                     --all->left;
                     if (!x) all->got.push_back(std::move(r));
                     if (!all->left || all->got.size() >= need) all->timer.cancel();
                   });
  }
  error_code e;
  if (all->left) co_await all->timer.async_wait(asio::redirect_error(asio::use_awaitable, e));
  vector<CopyReply> const got = all->got;
  if (got.size() < need || reg_.group().no != g.no) co_return false;
  for (CopyReply const& r : got) reg_.absorb(r.shelves);
  reg_.markCopied();
  tell("registry", "all keys are copied from " + std::to_string(got.size()) + " disks");
  co_return true;
}

/// A process without a disk is a member only where no member has one; else it forwards and keeps soft state.
bool Driver::mayJoin() const {
  if (!boot_.dataFolder.empty()) return true;
  for (Member const& m : reg_.group().members)
    if (m.disk) return false;
  return true;
}

Task<void> Driver::joinLoop() {
  for (;;) {
    bool const in = reg_.group().find(id_) != nullptr;
    if (!reg_.group().no.v) {
      co_await found();
      pump();
      pingAll();
    } else if (!in && !leaving_ && mayJoin()) {
      bool ok = false;
      vector<string> ips;
      for (Member const& m : reg_.group().members) ips.push_back(m.ip);
      for (Addr const& s : boot_.seeds) ips.push_back(s.ip);
      for (string const& ip : ips) {
        if (ok || ip == boot_.ip) continue;
        try {
          JoinGroup const ask{reg_.self(), 0, false};
          ok = (co_await rpc_.ask(at(ip), ask, Ms(boot_.bounds.inTouch / 2))).ok;
        } catch (Error const&) {
        }
      }
    } else if (in && !reg_.copied()) {
      co_await copyAll();
      pump();
      pingAll();
    }
    if (!warned_ && reg_.group().no.v && Clock::now() - started_ > Ms(boot_.bounds.confirmWithin)) {
      warned_ = true;
      if (!wide())
        warn("registry", "the group of " + std::to_string(reg_.group().members.size()) +
                             " is too small to bear the loss of " + std::to_string(boot_.surviveMachines) +
                             " machines");
    }
    co_await pause(Ms(boot_.bounds.inTouch / (in && reg_.copied() ? 10 : 30)));
  }
}

Task<bool> Driver::joined(JoinGroup q) {
  if (!q.leave && reg_.group().find(q.self.id)) co_return true;
  if (!reg_.owns("members")) {
    std::optional<Addr> const o = ownerOf("members");
    if (!o || q.hops > 1 || o->ip == boot_.ip) co_return false;
    ++q.hops;
    co_return (co_await rpc_.ask(*o, q, Ms(boot_.bounds.inTouch / 2))).ok;
  }
  if (changing_) co_return false;
  changing_ = true;
  bool ok = false;
  try {
    ok = co_await changeGroup(q);
  } catch (Error const&) {
  }
  changing_ = false;
  pump();
  pingAll();
  co_return ok;
}

Task<bool> Driver::changeGroup(JoinGroup const& q) {
  Moment const now = Clock::now();
  GroupNo const old = reg_.group().no;
  Membership const rule{Ms(boot_.bounds.inTouch / 2), now - started_ > Ms(boot_.bounds.inTouch),
                        std::max<std::size_t>(3, Membership::needed(boot_.surviveMachines))};
  std::optional<Group> const g = rule.next(reg_, q.self, q.leave, now);
  if (!g) co_return false;
  vector<Registry::Change> cs(1, Registry::Change{"group", packed(*g), false});
  bool const ok = co_await propose("members", std::move(cs));
  if (!ok || reg_.group().no != old) co_return false;
  reg_.install(*g, false);
  tell("registry", "group " + std::to_string(g->no.v) + " has " + std::to_string(g->members.size()) + " disks; " +
                       q.self.name + (q.leave ? " left" : " joined"));
  co_return true;
}

Task<void> Driver::pruneLoop() {
  for (;;) {
    co_await pause(Ms(boot_.bounds.inTouch / 3));
    if (reg_.owns("members")) {
      std::map<string, string> const v = reg_.view("members");
      std::map<string, string>::const_iterator const g = v.find("group");
      if (g != v.end()) {
        Group const x = unpacked<Group>(g->second);
        if (x.no > reg_.group().no) {
          reg_.install(x, false);
          pump();
          pingAll();
          continue;
        }
      }
      Moment const now = Clock::now();
      std::size_t const least = std::max<std::size_t>(3, Membership::needed(boot_.surviveMachines));
      if (reg_.group().members.size() > least && !changing_ && now - started_ > Ms(2 * boot_.bounds.catchUp))
        for (Member const& m : reg_.group().members)
          if (m.id != id_ && now - reg_.lastHeard(m.id) > Ms(2 * boot_.bounds.catchUp)) {
            JoinGroup const ask{m, 9, true};
            co_await joined(ask);
            break;
          }
    }
  }
}

}  // namespace tealshelf
