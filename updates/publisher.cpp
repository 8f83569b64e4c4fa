#include "updates/publisher.hpp"

namespace tealshelf {

void UpdatePublisher::changed(Ms gather) {
  if (gathering_) return;
  gathering_ = true;
  std::shared_ptr<asio::steady_timer> const t = std::make_shared<asio::steady_timer>(io_, gather);
  t->async_wait([this, t](error_code) {
    gathering_ = false;
    for (std::shared_ptr<asio::steady_timer> const& h : held_) h->cancel();
  });
}

void UpdatePublisher::note(UpdateRequest const& q, TimePoint now) {
  if (q.self.name.empty()) return;
  Asker& a = askers_[q.self.name];
  a.self = q.self;
  a.at = now;
  addTallies(q.tallies);
  if (q.children == 0) {
    a.list.clear();
    a.children = 0;
  } else if (q.hasList) {
    a.list = q.list;
    a.children = q.children;
  }
  if (askers_.size() > 4 * Relays::fanOut && askers_.size() > held_.size() * 2)
    std::erase_if(askers_, [&](std::pair<string const, Asker> const& p) {
      return now - p.second.at > Ms(2 * settings_.bounds.inTouch.count());
    });
}

void UpdatePublisher::addTallies(vector<WorkerTally> const& l) {
  for (WorkerTally const& t : l) {
    if (tallies_.size() >= 4096 && !tallies_.count(t.id)) continue;
    tallies_[t.id].first += t.ok;
    tallies_[t.id].second += t.bad;
  }
}
vector<WorkerTally> UpdatePublisher::takeTallies() {
  vector<WorkerTally> v;
  for (std::pair<string const, std::pair<double, double>> const& p : tallies_)
    v.push_back({p.first, p.second.first, p.second.second});
  tallies_.clear();
  return v;
}

vector<NodeRow> UpdatePublisher::heard(TimePoint now) const {
  vector<NodeRow> v;
  std::set<string> seen;
  for (std::pair<string const, Asker> const& p : askers_)
    if (now - p.second.at <= Ms(settings_.bounds.inTouch / 2) && seen.insert(p.first).second)
      v.push_back(p.second.self);
  for (std::pair<string const, Asker> const& p : askers_) {
    if (now - p.second.at > Ms(settings_.bounds.inTouch / 2)) continue;
    for (NodeRow const& c : p.second.list)
      if (seen.insert(c.name).second) v.push_back(c);
  }
  return v;
}

string const& UpdatePublisher::packedDelta(VersionedTable const& b, std::uint64_t from) {
  std::pair<std::uint64_t, std::uint64_t> const k(from, b.digest());
  std::map<std::pair<std::uint64_t, std::uint64_t>, string>::iterator const i = packed_.find(k);
  if (i != packed_.end()) return i->second;
  if (packed_.size() >= 16) packed_.clear();
  return packed_[k] = serialize(b.since(from));
}

std::optional<UpdateReply> UpdatePublisher::answer(UpdateRequest const& q, TimePoint came, TimePoint now,
                                                   bool crowded) {
  Proof const p = proof();
  UpdateReply r;
  r.healthy = p.healthy && !crowded;
  r.depth = p.depth;
  VersionedTable const& zone = zones[q.self.zone];
  r.wantChildren = q.children && !q.hasList && askers_[q.self.name].children != q.children;
  bool const updates =
      version_ > q.configurationVersion || common.digest() != q.common || zone.digest() != q.zone || r.wantChildren;
  bool const late = now >= came + Ms(std::min<std::int64_t>(q.holdMs, settings_.bounds.inTouch.count()));
  if (!late && !(r.healthy ? updates : !q.first)) return std::nullopt;
  r.ageMs = std::clamp<std::int64_t>(std::chrono::duration_cast<Ms>(now - p.fresh).count(), 0, 1000 * 1000 * 1000);
  r.heldMs = std::chrono::duration_cast<Ms>(now - came).count();
  r.configurationVersion = version_;
  r.commonTo = common.digest();
  r.zoneTo = zone.digest();
  if (r.healthy) {
    if (version_ > q.configurationVersion) r.configuration = configuration_;
    if (r.commonTo != q.common) r.common = packedDelta(common, q.common);
    if (r.zoneTo != q.zone) r.zone = packedDelta(zone, q.zone);
  }
  ++replies_;
  bytes_ += r.configuration.size() + r.common.size() + r.zone.size() + 64;
  return r;
}

Task<UpdateReply> UpdatePublisher::serve(UpdateRequest q) {
  if (q.form != updateFormat) throw Error(ErrorCode::badMessage, "form of updates " + std::to_string(q.form));
  TimePoint const came = Clock::now();
  note(q, came);
  bool const crowded = most_ && held_.size() >= most_;
  for (;;) {
    std::optional<UpdateReply> r = answer(q, came, Clock::now(), crowded);
    if (r) co_return std::move(*r);
    std::shared_ptr<asio::steady_timer> const t = std::make_shared<asio::steady_timer>(
        io_, came + Ms(std::min<std::int64_t>(q.holdMs, settings_.bounds.inTouch.count())));
    held_.insert(t);
    error_code e;
    co_await t->async_wait(asio::redirect_error(asio::use_awaitable, e));
    held_.erase(t);
  }
}

}  // namespace tealshelf
