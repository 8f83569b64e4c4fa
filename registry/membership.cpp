#include "registry/membership.hpp"

namespace tealshelf {

bool Membership::bears(Group const& g, std::int64_t survive) {
  std::size_t disks = 0;
  for (Member const& m : g.members) disks += m.disk;
  return disks == g.members.size() && disks >= needed(survive);
}

std::optional<Group> Membership::next(Registry const& reg, Member const& who, bool leave, Moment now) const {
  Group const& old = reg.group();
  if (!old.no.v) return std::nullopt;
  // A committed group that isn't installed here yet comes first: two groups must not share a number.
  std::map<string, string> const& v = reg.view("members");
  if (std::map<string, string>::const_iterator const g = v.find("group"); g != v.end()) {
    Group const x = msgpack::unpack(g->second.data(), g->second.size()).get().as<Group>();
    if (x.no > old.no) return std::nullopt;
  }
  Group g = old;
  g.no = GroupNo(old.no.v + 1);
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
    if (m->id == reg.self().id && m->ip != who.ip) continue;
    bool const dead = mayBury && now - reg.lastHeard(m->id) > deadAfter;
    int const r = m->ip == who.ip ? 3 : who.disk && !m->disk ? 2 : dead ? 1 : 0;
    if (r > rank) {
      gone = m;
      rank = r;
    }
  }
  if (leave) {
    if (gone == g.members.end() || g.members.size() <= least || gone->id == reg.self().id) return std::nullopt;
    g.members.erase(gone);
  } else if (gone != g.members.end()) {
    if (gone->id == reg.self().id) return std::nullopt;
    *gone = who;
  } else {
    g.members.push_back(who);
  }
  std::size_t ready = 0;
  for (Member const& m : g.members)
    if (old.find(m.id) && reg.ready(m.id, now)) ++ready;
  if (ready < g.most()) return std::nullopt;
  return g;
}

}  // namespace tealshelf
