#include "consensus/driver.hpp"

namespace tealshelf {

Task<bool> Driver::found() {
  Ms const limit(settings_.bounds.inTouch / 6);
  Membership g;
  g.no = MembershipNumber(1);
  bool seed = false;
  for (Addr const& s : settings_.seeds) {
    if (s.ip == settings_.ip) {
      g.members.push_back(consensus_.self());
      seed = true;
      continue;
    }
    HelloReply r;
    try {
      Hello const ask{consensus_.self()};
      r = co_await rpc_.ask(at(s.ip), ask, limit);
    } catch (Error const& x) {
      say(Level::debug, "consensus", s.text() + ": " + x.what());
      co_return false;
    }
    if (r.membership.no.v) {
      consensus_.install(r.membership, false);
      co_return true;
    }
    if (!r.founding) co_return false;
    g.members.push_back(r.self);
  }
  if (!seed || !settings_.firstStart) co_return false;
  std::sort(g.members.begin(), g.members.end(), [](Member const& a, Member const& b) { return a.ip < b.ip; });
  g.oldSize = g.members.size();
  for (Member& m : g.members) m.founder = true;
  consensus_.install(g, true);
  tell("consensus", "the membership is founded with " + std::to_string(g.members.size()) + " disks");
  co_return true;
}

Task<bool> Driver::copyAll() {
  Membership const g = consensus_.membership();
  std::size_t need = g.oldSize / 2 + 1;
  // One that lost its vote may have voted in this membership: any majority that it was part of must
  // share a member with those it copies from.
  std::size_t const others = g.members.size() - 1;
  if (consensus_.lostVote()) need = std::max(std::min(need, others), g.members.size() - g.most() + 1);
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
    asio::co_spawn(io_, rpc_.ask(at(m.ip), CopyAll{g.no}, Ms(settings_.bounds.inTouch / 2)),
                   [all, need](std::exception_ptr x, CopyReply r) {
                     --all->left;
                     if (!x) all->got.push_back(std::move(r));
                     if (!all->left || all->got.size() >= need) all->timer.cancel();
                   });
  }
  error_code e;
  if (all->left) co_await all->timer.async_wait(asio::redirect_error(asio::use_awaitable, e));
  vector<CopyReply> const got = all->got;
  if (got.size() < need || consensus_.membership().no != g.no) co_return false;
  for (CopyReply const& r : got) consensus_.absorb(r.keyspaces);
  consensus_.markCopied();
  tell("consensus", "all keys are copied from " + std::to_string(got.size()) + " disks");
  co_return true;
}

/// A process without a disk is a member only where no member has one; else it forwards and keeps soft state.
bool Driver::mayJoin() const {
  if (!settings_.dataFolder.empty()) return true;
  for (Member const& m : consensus_.membership().members)
    if (m.disk) return false;
  return true;
}

Task<void> Driver::joinLoop() {
  for (;;) {
    bool const in = consensus_.membership().find(id_) != nullptr;
    if (!consensus_.membership().no.v) {
      co_await found();
      pump();
      sendHeartbeats();
    } else if (!in && !leaving_ && mayJoin()) {
      bool ok = false;
      vector<string> ips;
      for (Member const& m : consensus_.membership().members) ips.push_back(m.ip);
      for (Addr const& s : settings_.seeds) ips.push_back(s.ip);
      for (string const& ip : ips) {
        if (ok || ip == settings_.ip) continue;
        try {
          JoinRequest const ask{consensus_.self(), 0, false};
          ok = (co_await rpc_.ask(at(ip), ask, Ms(settings_.bounds.inTouch / 2))).ok;
        } catch (Error const&) {
        }
      }
    } else if (in && !consensus_.copied()) {
      co_await copyAll();
      pump();
      sendHeartbeats();
    }
    if (!warned_ && consensus_.membership().no.v && Clock::now() - started_ > Ms(settings_.bounds.confirmWithin)) {
      warned_ = true;
      if (!wide())
        warn("consensus", "the membership of " + std::to_string(consensus_.membership().members.size()) +
                              " is too small to bear the loss of " + std::to_string(settings_.surviveMachines) +
                              " machines");
    }
    co_await pause(Ms(settings_.bounds.inTouch / (in && consensus_.copied() ? 10 : 30)));
  }
}

Task<bool> Driver::joined(JoinRequest q) {
  if (!q.leave && consensus_.membership().find(q.self.id)) co_return true;
  if (!consensus_.owns("members")) {
    std::optional<Addr> const o = ownerOf("members");
    if (!o || q.hops > 1 || o->ip == settings_.ip) co_return false;
    ++q.hops;
    co_return (co_await rpc_.ask(*o, q, Ms(settings_.bounds.inTouch / 2))).ok;
  }
  if (changing_) co_return false;
  changing_ = true;
  bool ok = false;
  try {
    ok = co_await changeMembership(q);
  } catch (Error const&) {
  }
  changing_ = false;
  pump();
  sendHeartbeats();
  co_return ok;
}

Task<bool> Driver::changeMembership(JoinRequest const& q) {
  Moment const now = Clock::now();
  MembershipNumber const old = consensus_.membership().no;
  MembershipPolicy const rule{Ms(settings_.bounds.inTouch / 2), now - started_ > Ms(settings_.bounds.inTouch),
                              std::max<std::size_t>(3, MembershipPolicy::needed(settings_.surviveMachines))};
  std::optional<Membership> const g = rule.next(consensus_, q.self, q.leave, now);
  if (!g) co_return false;
  vector<Consensus::Change> cs(1, Consensus::Change{"membership", packed(*g), false});
  bool const ok = co_await propose("members", std::move(cs));
  if (!ok || consensus_.membership().no != old) co_return false;
  consensus_.install(*g, false);
  tell("consensus", "membership " + std::to_string(g->no.v) + " has " + std::to_string(g->members.size()) + " disks; " +
                        q.self.name + (q.leave ? " left" : " joined"));
  co_return true;
}

Task<void> Driver::pruneLoop() {
  for (;;) {
    co_await pause(Ms(settings_.bounds.inTouch / 3));
    if (consensus_.owns("members")) {
      std::map<string, string> const v = consensus_.view("members");
      std::map<string, string>::const_iterator const g = v.find("membership");
      if (g != v.end()) {
        Membership const x = unpacked<Membership>(g->second);
        if (x.no > consensus_.membership().no) {
          consensus_.install(x, false);
          pump();
          sendHeartbeats();
          continue;
        }
      }
      Moment const now = Clock::now();
      std::size_t const least = std::max<std::size_t>(3, MembershipPolicy::needed(settings_.surviveMachines));
      if (consensus_.membership().members.size() > least && !changing_ &&
          now - started_ > Ms(2 * settings_.bounds.catchUp))
        for (Member const& m : consensus_.membership().members)
          if (m.id != id_ && now - consensus_.lastHeard(m.id) > Ms(2 * settings_.bounds.catchUp)) {
            JoinRequest const ask{m, 9, true};
            co_await joined(ask);
            break;
          }
    }
  }
}

}  // namespace tealshelf
