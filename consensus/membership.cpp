#include "consensus/membership.hpp"

namespace tealshelf {

namespace {
/// A membership that this owner committed and has not installed yet comes first: two must not share a number.
bool newerIsCommitted(Consensus const& consensus) {
  std::map<string, string> const& v = consensus.view("members");
  std::map<string, string>::const_iterator const g = v.find("membership");
  if (g == v.end()) return false;
  Membership const x = msgpack::unpack(g->second.data(), g->second.size()).get().as<Membership>();
  return x.no > consensus.membership().no;
}

bool isNewcomer(Membership const& g, Member const& m) {
  for (Member const& f : g.former)
    if (f.id == m.id && f.stay == m.stay) return false;
  return true;
}

/// The last change is open while its newcomer is in touch and has no vote yet.
bool changeIsOpen(Consensus const& consensus, TimePoint now) {
  Membership const& g = consensus.membership();
  for (Member const& m : g.members)
    if (isNewcomer(g, m) && consensus.alive(m.id, now) && !consensus.ready(m.id, now)) return true;
  return false;
}

bool anyDisk(Membership const& g) {
  return std::any_of(g.members.begin(), g.members.end(), [](Member const& m) { return m.disk; });
}

/// What becomes of the members when a learner is promoted.
struct Seat {
  enum class Kind { replace, add, wait } kind = Kind::wait;
  NodeId of;  ///< whose place it takes, with replace
};

Seat seatFor(Consensus const& consensus, Member const& who, Ms deadAfter, TimePoint now) {
  vector<Member> const& l = consensus.membership().members;
  for (Member const& m : l)
    if (m.ip == who.ip) return {Seat::Kind::replace, m.id};
  for (Member const& m : l)
    if (who.disk && !m.disk && m.id != consensus.self().id) return {Seat::Kind::replace, m.id};
  Member const* longest = nullptr;
  bool silent = false;
  for (Member const& m : l) {
    silent = silent || !consensus.alive(m.id, now);
    if (!longest || consensus.silentFor(m.id, now) > consensus.silentFor(longest->id, now)) longest = &m;
  }
  if (longest && consensus.silentFor(longest->id, now) > deadAfter) return {Seat::Kind::replace, longest->id};
  return {silent ? Seat::Kind::wait : Seat::Kind::add, NodeId()};
}

/// True if those who stay and vote are a majority of the next membership.
bool stayersSuffice(Consensus const& consensus, Membership const& next, TimePoint now) {
  std::size_t n = 0;
  for (Member const& m : next.members) {
    Member const* const old = consensus.membership().find(m.id);
    n += old && old->stay == m.stay && consensus.ready(m.id, now);
  }
  return n >= next.most();
}
}  // namespace

bool MembershipPolicy::bears(Membership const& g, std::int64_t survive) {
  std::size_t disks = 0;
  for (Member const& m : g.members) disks += m.disk;
  return disks == g.members.size() && disks >= needed(survive);
}

bool MembershipPolicy::isTight(Consensus const& consensus, NodeId without, std::int64_t survive, TimePoint now) {
  Membership const& g = consensus.membership();
  std::size_t inTouch = 0;
  for (Member const& m : g.members) inTouch += m.id != without && consensus.alive(m.id, now);
  return inTouch < g.most() + static_cast<std::size_t>(survive);
}

std::optional<Membership> MembershipPolicy::next(Consensus const& consensus, MembershipWish const& wish,
                                                 TimePoint now) const {
  Membership const& old = consensus.membership();
  if (!old.no.value || !consensus.owns("members") || newerIsCommitted(consensus)) return std::nullopt;
  if (changeIsOpen(consensus, now)) return std::nullopt;
  Membership g;
  g.no = MembershipNumber(old.no.value + 1);
  g.members = old.members;
  g.former = old.members;
  if (wish.leave) {
    if (g.members.size() <= least || wish.who.id == consensus.self().id) return std::nullopt;
    if (!consensus.writtenAnew(now)) return std::nullopt;
    if (!std::erase_if(g.members, [&wish](Member const& m) { return m.id == wish.who.id; })) return std::nullopt;
  } else {
    if (wish.copiedUnder != old.no || (!wish.who.disk && anyDisk(old))) return std::nullopt;
    Seat const seat = seatFor(consensus, wish.who, deadAfter, now);
    if (seat.kind == Seat::Kind::wait || seat.of == consensus.self().id) return std::nullopt;
    if (seat.kind == Seat::Kind::add) g.members.push_back(wish.who);
    for (Member& m : g.members)
      if (seat.kind == Seat::Kind::replace && m.id == seat.of) m = wish.who;
  }
  if (!stayersSuffice(consensus, g, now)) return std::nullopt;
  return g;
}

}  // namespace tealshelf
