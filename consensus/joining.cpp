#include "consensus/driver.hpp"

namespace tealshelf {

Task<bool> Driver::found() {
  Ms const limit(settings_.bounds.inTouch / 6);
  Membership g;
  g.no = MembershipNumber(1);
  bool seed = false;
  for (Address const& s : settings_.seeds) {
    if (s.ip == settings_.ip) {
      g.members.push_back(consensus_.self());
      seed = true;
      continue;
    }
    HelloReply r;
    try {
      Hello const ask{consensus_.self()};
      r = co_await rpc_.call(at(s.ip), ask, limit);
    } catch (Error const& x) {
      logDebug("consensus", s.text() + ": " + x.what());
      co_return false;
    }
    if (r.membership.no.value) {
      consensus_.install(r.membership, false);
      co_return true;
    }
    if (!r.founding) co_return false;
    g.members.push_back(r.self);
  }
  if (!seed || !settings_.firstBoot) co_return false;
  std::sort(g.members.begin(), g.members.end(), [](Member const& a, Member const& b) { return a.ip < b.ip; });
  for (Member& m : g.members) m.founder = true;
  g.former = g.members;
  consensus_.install(g, true);
  logInfo("consensus", "the membership is founded with " + std::to_string(g.members.size()) + " disks");
  co_return true;
}

Task<CopyReply> Driver::copyFor(CopyAll const& q) {
  std::optional<Member> const source = consensus_.copySource();
  if (q.membership != consensus_.membership().no || !source) throw Error(ErrorCode::notMember);
  CopyReply r;
  r.source = *source;
  r.keyspaces = consensus_.dump();
  for (KeyspaceCopy& k : r.keyspaces) {
    std::map<string, std::uint64_t>::const_iterator const d = q.digests.find(k.keyspace);
    k.same = d != q.digests.end() && d->second == k.digest();
    if (k.same) k.entries.clear();
  }
  // The membership must be durable here before the copy counts, as this disk acknowledges nothing under
  // an older one from then on.
  if (log_) co_await log_->waitSynced();
  co_return r;
}

namespace {
/// Copies on their way from several disks.
struct Gather {
  explicit Gather(asio::io_context& io) : timer(io, TimePoint::max()) {}
  asio::steady_timer timer;
  std::map<NodeId, DiskCopy> got;
  std::size_t left = 0;
};

/// Puts what the asker held already into a copy.
DiskCopy whole(DiskCopy copy, DiskCopy const& held) {
  for (KeyspaceCopy& k : copy) {
    if (!k.same) continue;
    for (KeyspaceCopy const& h : held)
      if (h.keyspace == k.keyspace) k.entries = h.entries;
    k.same = false;
  }
  return copy;
}
}  // namespace

/// Copies all keys: as a learner from a majority of the voters, to be quick later; as a member without
/// a vote from a majority of the former voters, all of which are sealed by the present membership.
Task<bool> Driver::copyAll() {
  Membership const g = consensus_.membership();
  bool const member = consensus_.isMember();
  vector<Member> const sources = member ? g.former : g.members;
  std::size_t const need = member ? g.mostFormer() : g.most();
  std::shared_ptr<Gather> const all = std::make_shared<Gather>(io_);
  for (Member const& m : sources) {
    if (m.ip == settings_.ip) continue;
    CopyAll ask;
    ask.membership = g.no;
    for (KeyspaceCopy const& k : prefetched_[m.id]) ask.digests[k.keyspace] = k.digest();
    ++all->left;
    asio::co_spawn(io_, rpc_.call(at(m.ip), ask, Ms(settings_.bounds.inTouch / 2)),
                   [all, need, m](std::exception_ptr x, CopyReply r) {
                     --all->left;
                     bool const right = !x && r.source.id == m.id && r.source.stay == m.stay;
                     if (right) all->got[m.id] = std::move(r.keyspaces);
                     if (!all->left || all->got.size() >= need) all->timer.cancel();
                   });
  }
  error_code e;
  if (all->left) co_await all->timer.async_wait(asio::redirect_error(asio::use_awaitable, e));
  std::map<NodeId, DiskCopy> const got = all->got;
  if (got.size() < need || consensus_.membership().no != g.no || consensus_.isMember() != member) co_return false;
  std::map<NodeId, DiskCopy> copies;
  for (std::pair<NodeId const, DiskCopy> const& c : got) copies[c.first] = whole(c.second, prefetched_[c.first]);
  if (member) {
    vector<DiskCopy> l;
    for (std::pair<NodeId const, DiskCopy>& c : copies) l.push_back(std::move(c.second));
    consensus_.adopt(l);
    prefetched_.clear();
    logInfo("consensus", "all keys are copied from " + std::to_string(l.size()) + " disks");
  } else {
    prefetched_ = std::move(copies);
    prefetchedUnder_ = g.no;
  }
  co_return true;
}

/// A process without a disk is a member only where no member has one; else it forwards and keeps soft state.
bool Driver::mayJoin() const {
  if (!settings_.dataFolder.empty()) return true;
  for (Member const& m : consensus_.membership().members)
    if (m.disk) return false;
  return true;
}

/// Asks the members, and the seeds, for a place as a member; first copies all keys as a learner.
/// True if it was promoted.
Task<bool> Driver::askToJoin() {
  if (consensus_.isRetired()) consensus_.comeBack(randomId());
  if (prefetchedUnder_ != consensus_.membership().no) co_await copyAll();
  JoinRequest ask;
  ask.self = consensus_.self();
  ask.copiedUnder = prefetchedUnder_;
  vector<string> ips;
  for (Member const& m : consensus_.membership().members) ips.push_back(m.ip);
  for (Address const& s : settings_.seeds) ips.push_back(s.ip);
  for (string const& ip : ips) {
    if (ip == settings_.ip) continue;
    try {
      Acknowledgement const r = co_await rpc_.call(at(ip), ask, Ms(settings_.bounds.inTouch / 2));
      if (r.ok) co_return true;
    } catch (Error const&) {
    }
  }
  co_return false;
}

/// A node that leaves asks to be taken out at once if the others bear too few losses while it counts.
Task<void> Driver::askToLeave() {
  TimePoint const now = Clock::now();
  if (consensus_.membership().members.size() <= leastMembers()) co_return;
  if (!MembershipPolicy::isTight(consensus_, id_, settings_.surviveMachines, now)) co_return;
  std::optional<Address> const owner = ownerOf("members");
  if (!owner || owner->ip == settings_.ip) co_return;
  JoinRequest ask;
  ask.self = consensus_.self();
  ask.leave = true;
  try {
    co_await rpc_.call(*owner, ask, Ms(settings_.bounds.inTouch / 2));
  } catch (Error const&) {
  }
}

Task<void> Driver::joinLoop() {
  for (;;) {
    bool const in = consensus_.isMember();
    bool promoted = false;
    if (!consensus_.membership().no.value) {
      co_await found();
      pump();
      sendHeartbeats();
    } else if (!in && !leaving_ && mayJoin()) {
      promoted = co_await askToJoin();
      pump();
    } else if (in && leaving_) {
      co_await askToLeave();
    } else if (in && !consensus_.copied()) {
      co_await copyAll();
      pump();
      sendHeartbeats();
    }
    if (!warned_ && consensus_.membership().no.value && Clock::now() - started_ > Ms(settings_.bounds.confirmWithin)) {
      warned_ = true;
      if (!wide())
        logWarning("consensus", "the membership of " + std::to_string(consensus_.membership().members.size()) +
                                    " is too small to bear the loss of " + std::to_string(settings_.surviveMachines) +
                                    " machines");
    }
    // Promoted, it has no vote until it copied what is missing: the membership comes at once.
    int const share = promoted ? 300 : consensus_.isMember() && consensus_.copied() ? 10 : 30;
    co_await sleepFor(Ms(settings_.bounds.inTouch / share));
  }
}

Task<bool> Driver::joined(JoinRequest q) {
  Member const* const known = consensus_.membership().find(q.self.id);
  if (!q.leave && known && known->stay == q.self.stay) co_return true;
  if (!consensus_.owns("members")) {
    std::optional<Address> const o = ownerOf("members");
    if (!o || q.hops > 1 || o->ip == settings_.ip) co_return false;
    ++q.hops;
    co_return (co_await rpc_.call(*o, q, Ms(settings_.bounds.inTouch / 2))).ok;
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
  TimePoint const now = Clock::now();
  MembershipNumber const old = consensus_.membership().no;
  MembershipPolicy const rule{MembershipPolicy::deadAfterFor(settings_.bounds), leastMembers()};
  MembershipWish const wish{q.self, q.leave, q.copiedUnder};
  std::optional<Membership> const g = rule.next(consensus_, wish, now);
  if (!g) co_return false;
  vector<Consensus::Change> cs(1, Consensus::Change{"membership", serialize(*g), false});
  Result const r = co_await propose("members", std::move(cs));
  if (r != Result::committed || consensus_.membership().no != old) co_return false;
  consensus_.install(*g, false);
  logInfo("consensus", "membership " + std::to_string(g->no.value) + " has " + std::to_string(g->members.size()) +
                           " disks; " + q.self.name + (q.leave ? " left" : " joined"));
  co_return true;
}

Task<void> Driver::pruneLoop() {
  for (;;) {
    co_await sleepFor(Ms(settings_.bounds.inTouch / 3));
    if (!consensus_.owns("members")) continue;
    std::map<string, string> const v = consensus_.view("members");
    std::map<string, string>::const_iterator const g = v.find("membership");
    Membership const newest = g == v.end() ? Membership() : deserialize<Membership>(g->second);
    if (newest.no > consensus_.membership().no) {
      consensus_.install(newest, false);
      pump();
      sendHeartbeats();
      continue;
    }
    co_await removeSilent();
  }
}

/// Takes out a member that is gone for good, where the membership is larger than it must be; sooner if
/// those who are left bear too few losses while it counts.
Task<void> Driver::removeSilent() {
  TimePoint const now = Clock::now();
  if (consensus_.membership().members.size() <= leastMembers() || changing_) co_return;
  for (Member const& m : vector<Member>(consensus_.membership().members)) {
    bool const tight = MembershipPolicy::isTight(consensus_, m.id, settings_.surviveMachines, now);
    Ms const limit = tight ? MembershipPolicy::deadAfterFor(settings_.bounds) : Ms(2 * settings_.bounds.catchUp);
    if (consensus_.silentFor(m.id, now) <= limit) continue;
    JoinRequest ask;
    ask.self = m;
    ask.hops = 9;
    ask.leave = true;
    co_await joined(ask);
    co_return;
  }
}

}  // namespace tealshelf
