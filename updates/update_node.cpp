#include "updates/update_node.hpp"

namespace tealshelf {

UpdateNode::UpdateNode(NodeRow self, Times t, vector<Address> seeds, std::function<Address(string const&)> controlAt,
                       UpdatePublisher& publisher)
    : self_(std::move(self)),
      times_(t),
      seeds_(std::move(seeds)),
      controlAt_(std::move(controlAt)),
      publisher_(publisher),
      copy_(publisher, self_.zone, t.inTouch / 40),
      sources_(t.inTouch / 4, hash64(self_.name)) {
  arrange();
}

/// Works out anew whom this node asks, and whether it relays.
void UpdateNode::arrange() {
  vector<NodeRow> zone;
  for (std::pair<string const, string> const& p : publisher_.zones[self_.zone].rows())
    zone.push_back(deserialize<NodeRow>(p.second));
  vector<NodeRow> const relays = Relays::of(zone);
  bool control = false;
  vector<Address> near, far, parents;
  for (std::pair<string const, Member> const& p : members_) {
    control = control || p.second.zone == self_.zone;
    (p.second.zone == self_.zone ? near : far).push_back(controlAt_(p.second.ip));
  }
  for (vector<Address>* const l : {&near, &far})
    std::sort(l->begin(), l->end(), [this](Address const& a, Address const& b) {
      return hash64(self_.name, hash64(a.ip)) < hash64(self_.name, hash64(b.ip));
    });
  near.insert(near.end(), far.begin(), far.end());
  for (Address const& a : seeds_)
    if (std::find(near.begin(), near.end(), a) == near.end()) near.push_back(a);
  bool relay = false;
  for (NodeRow const& r : relays) relay = relay || r.name == self_.name;
  // After one relay and one in reserve comes control, so that a zone that lost its relays is not late.
  for (NodeRow const& r : Relays::parents(self_.name, relays, control))
    if (parents.size() < 2) parents.push_back(r.at);
  if (relay != relay_)
    logInfo("updates", relay ? "this node relays updates to its zone" : "this node no longer relays updates");
  relay_ = relay;
  sources_.set(std::move(parents), std::move(near));
}

UpdateRequest UpdateNode::ask(TimePoint now, Ms hold, bool first) {
  UpdateRequest q;
  q.self = self_;
  q.holdMs = hold.count();
  q.first = first;
  copy_.versions(q);
  vector<NodeRow> children = publisher_.heard(now);
  q.children = Relays::digest(children);
  q.hasList = wantsList_;
  if (wantsList_) q.list = std::move(children);
  return q;
}

UpdateNode::Plan UpdateNode::plan(TimePoint now) {
  Plan p;
  p.at = sources_.next(now);
  p.parent = sources_.isParent(p.at);
  // A relay asks in short turns, so that what it gives on is fresh; whoever asks control directly
  // in a fleet without relays asks in long ones.
  p.hold = times_.inTouch / (relay_ || publisher_.asking() ? 32 : p.parent ? 16 : 8);
  p.limit = p.hold + times_.inTouch / (p.parent ? 16 : 10);
  p.ask = ask(now, p.hold, false);
  return p;
}

UpdateNode::Plan UpdateNode::firstPlan(Address at, TimePoint now) {
  Plan p;
  p.at = std::move(at);
  p.hold = times_.inTouch / 8;
  p.limit = p.hold + times_.inTouch / 10;
  p.ask = ask(now, p.hold, true);
  return p;
}

bool UpdateNode::got(Plan const& p, UpdateReply const& r, TimePoint sent, TimePoint now) {
  bool fleet = false;
  wantsList_ = r.wantChildren;
  UpdateCopy::Verdict const v = copy_.take(
      r, sent,
      [&](TableRow const& b) {
        if (b.key[0] == 'm') {
          fleet = true;
          if (b.gone)
            members_.erase(b.key.substr(2));
          else
            members_[b.key.substr(2)] = deserialize<Member>(b.value);
        }
        if (onRow) onRow(b);
      },
      [&](TableRow const&) { fleet = true; });
  if (fleet) arrange();
  if (v == UpdateCopy::Verdict::gap) logDebug("updates", p.at.text() + " gave a delta for another content");
  bool const good = v == UpdateCopy::Verdict::gap ||
                    (v == UpdateCopy::Verdict::taken && (!p.parent || now - copy_.fresh() <= times_.tooOld));
  // A relay that answers but doesn't hear from control itself is left in time.
  if (good)
    sources_.worked(p.at);
  else
    sources_.failed(p.at, now);
  return good;
}

}  // namespace tealshelf
