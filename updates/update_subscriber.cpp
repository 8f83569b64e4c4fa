#include "updates/update_subscriber.hpp"

#include "updates/relay_topology.hpp"

namespace tealshelf {

namespace {
/// A node tries one relay and one spare before control nodes, so that updates of a zone that lost its relays stay
/// timely.
constexpr std::size_t maxParents = 2;
}  // namespace

UpdateSubscriber::UpdateSubscriber(DataNode self, Timeouts timeouts, vector<Address> seeds,
                                   std::function<Address(string const&)> controlAddress, UpdatePublisher& publisher)
    : self_(std::move(self)),
      timeouts_(timeouts),
      seeds_(std::move(seeds)),
      controlAddress_(std::move(controlAddress)),
      publisher_(publisher),
      copy_(publisher, self_.zone, timeouts.inTouch / 40),
      sources_(timeouts.inTouch / 4, hash64(self_.name)) {
  recomputeSources();
}

/// Control nodes of this zone first, then those of other zones, then seeds that aren't known as members.
vector<Address> UpdateSubscriber::controlsByDistance() const {
  vector<Address> inZone, elsewhere;
  for (auto const& [key, member] : members_)
    (member.zone == self_.zone ? inZone : elsewhere).push_back(controlAddress_(member.ip));
  for (vector<Address>* const group : {&inZone, &elsewhere})
    std::sort(group->begin(), group->end(), [this](Address const& left, Address const& right) {
      return hash64(self_.name, hash64(left.ip)) < hash64(self_.name, hash64(right.ip));
    });
  vector<Address> controls = inZone;
  controls.insert(controls.end(), elsewhere.begin(), elsewhere.end());
  for (Address const& seed : seeds_)
    if (std::find(controls.begin(), controls.end(), seed) == controls.end()) controls.push_back(seed);
  return controls;
}

void UpdateSubscriber::recomputeSources() {
  vector<DataNode> zone;
  for (auto const& [name, row] : publisher_.zones[self_.zone].rows()) zone.push_back(deserialize<DataNode>(row));
  vector<DataNode> const relays = RelayTopology::relaysOf(zone);
  bool const isRelay =
      std::any_of(relays.begin(), relays.end(), [this](DataNode const& relay) { return relay.name == self_.name; });
  bool const controlInZone = std::any_of(members_.begin(), members_.end(),
                                         [this](auto const& item) { return item.second.zone == self_.zone; });
  vector<Address> parents;
  for (DataNode const& relay : RelayTopology::parentsOf(self_.name, relays, controlInZone))
    if (parents.size() < maxParents) parents.push_back(relay.address);
  if (isRelay != isRelay_)
    logInfo("updates",
            isRelay ? "this node now relays updates to its zone" : "this node no longer relays updates to its zone");
  isRelay_ = isRelay;
  sources_.set(std::move(parents), controlsByDistance());
}

UpdateRequest UpdateSubscriber::makeRequest(TimePoint now, Ms hold, bool isFirst) {
  UpdateRequest request;
  if (updateSelf) updateSelf(self_);
  request.self = self_;
  request.holdMs = hold.count();
  request.isFirst = isFirst;
  copy_.fillVersions(request);
  vector<DataNode> nodes = publisher_.recentNodes(now);
  request.nodesDigest = RelayTopology::digest(nodes);
  request.carriesNodes = sendsNodes_;
  if (sendsNodes_) request.nodes = std::move(nodes);
  return request;
}

UpdateSubscriber::Plan UpdateSubscriber::plan(TimePoint now) {
  Plan plan;
  plan.source = sources_.next(now);
  plan.fromParent = sources_.isParent(plan.source);
  // A relay polls with a short hold time, so that what it serves is recent; nodes that poll control nodes directly use
  // a long one.
  bool const servesOthers = isRelay_ || publisher_.heldRequests();
  plan.hold = timeouts_.inTouch / (servesOthers ? 32 : plan.fromParent ? 16 : 8);
  if (needsShortPolls && needsShortPolls()) plan.hold = std::min(plan.hold, timeouts_.inTouch / 80);
  plan.timeout = plan.hold + timeouts_.inTouch / (plan.fromParent ? 16 : 10);
  plan.request = makeRequest(now, plan.hold, false);
  return plan;
}

UpdateSubscriber::Plan UpdateSubscriber::firstPlan(Address source, TimePoint now) {
  Plan plan;
  plan.source = std::move(source);
  plan.hold = timeouts_.inTouch / 8;
  plan.timeout = plan.hold + timeouts_.inTouch / 10;
  plan.request = makeRequest(now, plan.hold, true);
  plan.request.isIntroduction = !isIntroduced_;
  plan.fromParent = sources_.isParent(plan.source);
  return plan;
}

void UpdateSubscriber::applyMemberRow(TableRow const& row) {
  ++membersRevision_;
  if (row.removed)
    members_.erase(row.key);
  else
    members_[row.key] = deserialize<Member>(row.value);
}

bool UpdateSubscriber::receiveIntroduction(Plan const& plan, UpdateReply const& reply, TimePoint now) {
  if (!reply.healthy) {
    sources_.noteFailed(plan.source, now);
    return false;
  }
  sources_.noteAnswered(plan.source);
  if (isIntroduced_) return true;
  isIntroduced_ = true;
  if (!reply.zone.empty())
    publisher_.zones[self_.zone].apply(deserialize<TableDelta>(reply.zone), [](TableRow const&) {});
  for (TableRow const& row : reply.members) applyMemberRow(row);
  recomputeSources();
  return true;
}

bool UpdateSubscriber::receive(Plan const& plan, UpdateReply const& reply, TimePoint sentAt, TimePoint now) {
  // A source of a release without introductions replies with all tables.
  if (plan.request.isIntroduction && reply.common.empty()) return receiveIntroduction(plan, reply, now);
  isIntroduced_ = true;
  bool nodesChanged = false;
  sendsNodes_ = reply.wantsNodes;
  auto const onCommonChange = [&](TableRow const& row) {
    if (row.key.starts_with(memberRowPrefix)) {
      nodesChanged = true;
      applyMemberRow(row);
    }
    if (onRow) onRow(row);
  };
  UpdateCopy::Result const result =
      copy_.apply(reply, sentAt, onCommonChange, [&nodesChanged](TableRow const&) { nodesChanged = true; });
  if (nodesChanged) recomputeSources();
  if (result == UpdateCopy::Result::gap)
    logDebug("updates", "the delta from " + plan.source.text() +
                            " doesn't apply to the tables of this node; requesting full tables");
  // A relay that replies but gets no recent updates from the control plane itself counts as failed.
  bool const fresh = !plan.fromParent || now - copy_.provenAt() <= timeouts_.maxUpdateAge;
  bool const accepted = result == UpdateCopy::Result::gap || (result == UpdateCopy::Result::applied && fresh);
  if (accepted)
    sources_.noteAnswered(plan.source);
  else
    sources_.noteFailed(plan.source, now);
  return accepted;
}

UpdatePublisher::Proof UpdateSubscriber::proof(TimePoint now) const {
  bool const healthy = publisher_.configurationVersion() && now - copy_.provenAt() < timeouts_.maxUpdateAge;
  return {healthy, copy_.depth(), copy_.provenAt()};
}

}  // namespace tealshelf
