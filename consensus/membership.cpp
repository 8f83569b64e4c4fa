#include "consensus/membership.hpp"

namespace tealshelf {

bool MembershipPolicy::bears(Membership const& g, std::int64_t survive) {
  std::size_t disks = 0;
  for (Member const& m : g.members) disks += m.disk;
  return disks == g.members.size() && disks >= needed(survive);
}

std::optional<Membership> MembershipPolicy::next(Consensus const& consensus, Member const& who, bool leave,
                                                 Moment now) const {
  Membership const& old = consensus.membership();
  if (!old.no.v) return std::nullopt;
  // A committed membership that isn't installed here yet comes first: two memberships must not share a number.
  std::map<string, string> const& v = consensus.view("members");
  if (std::map<string, string>::const_iterator const g = v.find("membership"); g != v.end()) {
    Membership const x = msgpack::unpack(g->second.data(), g->second.size()).get().as<Membership>();
    if (x.no > old.no) return std::nullopt;
  }
  Membership g = old;
  g.no = MembershipNumber(old.no.v + 1);
  g.oldSize = old.members.size();
  bool anyDisk = false;
  for (Member const& m : old.members) anyDisk = anyDisk || m.disk;
  if (!leave && !who.disk && anyDisk) return std::nullopt;
  vector<Member>::iterator gone = g.members.end();
  int rank = 0;
  for (vector<Member>::iterator m = g.members.begin(); m != g.members.end(); ++m) {
    if (leave) {
      if (m->id == who.id) {
        gone = m;
        rank = 9;
      }
      continue;
    }
    if (m->id == consensus.self().id && m->ip != who.ip) continue;
    bool const dead = mayBury && now - consensus.lastHeard(m->id) > deadAfter;
    int const r = m->ip == who.ip ? 3 : who.disk && !m->disk ? 2 : dead ? 1 : 0;
    if (r > rank) {
      gone = m;
      rank = r;
    }
  }
  if (leave) {
    if (gone == g.members.end() || g.members.size() <= least || gone->id == consensus.self().id) return std::nullopt;
    g.members.erase(gone);
  } else if (gone != g.members.end()) {
    if (gone->id == consensus.self().id) return std::nullopt;
    *gone = who;
  } else {
    g.members.push_back(who);
  }
  std::size_t ready = 0;
  for (Member const& m : g.members)
    if (old.find(m.id) && consensus.ready(m.id, now)) ++ready;
  if (ready < g.most()) return std::nullopt;
  return g;
}

}  // namespace tealshelf
