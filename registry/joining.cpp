#include "registry/driver.hpp"

namespace tealshelf {

Task<bool> Driver::found() {
  Ms const limit(boot_.bounds.inTouch / 6);
  Group g;
  g.no = GroupNo(1);
  bool seed = false;
  for (Addr const& s : boot_.seeds) {
    if (s.ip == boot_.ip) { g.members.push_back(reg_.self()); seed = true; continue; }
    HelloReply r;
    try {
      Hello const ask{reg_.self()};
      r = co_await rpc_.ask(at(s.ip), ask, limit);
    } catch (Error const& x) {
      say(Level::debug, "registry", s.text() + ": " + x.what());
      co_return false;
    }
    if (r.group.no.v) { reg_.install(r.group, false); co_return true; }
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
  vector<CopyReply> got;
  for (Member const& m : g.members) {
    if (m.id == id_) continue;
    try {
      CopyAll const ask{g.no};
      got.push_back(co_await rpc_.ask(at(m.ip), ask, Ms(boot_.bounds.inTouch / 2)));
    } catch (Error const&) {
    }
  }
  if (got.size() < need || reg_.group().no != g.no) co_return false;
  for (CopyReply const& r : got) reg_.absorb(r.shelves);
  reg_.markCopied();
  tell("registry", "all keys are copied from " + std::to_string(got.size()) + " disks");
  co_return true;
}

Task<void> Driver::joinLoop() {
  for (;;) {
    bool const in = reg_.group().find(id_) != nullptr;
    if (!reg_.group().no.v) {
      co_await found();
      pump();
      pingAll();
    } else if (!in && !leaving_) {
      bool ok = false;
      vector<string> ips;
      for (Member const& m : reg_.group().members) ips.push_back(m.ip);
      for (Addr const& s : boot_.seeds) ips.push_back(s.ip);
      for (string const& ip : ips) {
        if (ok || ip == boot_.ip || (boot_.dataFolder.empty() && !fresh_)) continue;
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
  Group const old = reg_.group();
  Group g = old;
  g.no = GroupNo(old.no.v + 1);
  g.oldSize = old.members.size();
  vector<Member>::iterator gone = g.members.end();
  for (vector<Member>::iterator m = g.members.begin(); m != g.members.end(); ++m) {
    if (m->id == id_) continue;
    bool const dead = now - reg_.lastHeard(m->id) > Ms(boot_.bounds.inTouch / 2) && now - started_ > Ms(boot_.bounds.inTouch);
    if (m->ip == q.self.ip || (gone == g.members.end() && dead)) gone = m;
  }
  // Everyone who stays must hold all keys, so that no majority can miss a change.
  for (Member const& m : old.members) {
    if (gone != g.members.end() && m.id == gone->id) continue;
    if (!reg_.ready(m.id, now)) co_return false;
  }
  if (q.leave) {
    if (gone == g.members.end() || g.members.size() <= 3) co_return false;
    g.members.erase(gone);
  } else if (gone != g.members.end()) {
    *gone = q.self;
  } else {
    g.members.push_back(q.self);
  }
  msgpack::sbuffer b;
  msgpack::pack(b, g);
  vector<Registry::Change> cs(1, Registry::Change{"group", string(b.data(), b.size()), false});
  bool const ok = co_await propose("members", std::move(cs));
  if (!ok || reg_.group().no != old.no) co_return false;
  reg_.install(g, false);
  tell("registry", "group " + std::to_string(g.no.v) + " has " + std::to_string(g.members.size()) + " disks; " + q.self.name + (q.leave ? " left" : " joined"));
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
        if (x.no > reg_.group().no) { reg_.install(x, false); pump(); pingAll(); continue; }
      }
      Moment const now = Clock::now();
      if (reg_.group().members.size() > 3 && !changing_ && now - started_ > Ms(2 * boot_.bounds.catchUp))
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
