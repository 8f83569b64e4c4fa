#include "updates/sources.hpp"

namespace tealshelf {

void Sources::set(vector<Address> parents, vector<Address> controls) {
  parents_ = std::move(parents);
  controls_ = std::move(controls);
}

bool Sources::rests(Address const& a, TimePoint now) const {
  std::map<Address, Row>::const_iterator const i = rows_.find(a);
  return i != rows_.end() && now < i->second.until;
}

Address Sources::next(TimePoint now) const {
  std::optional<std::pair<TimePoint, Address>> least;
  for (vector<Address> const* const l : {&parents_, &controls_})
    for (Address const& a : *l) {
      if (!rests(a, now)) return a;
      TimePoint const until = rows_.at(a).until;
      if (!least || until < least->first) least = {until, a};
    }
  return least ? least->second : Address();
}

bool Sources::resting(TimePoint now) const {
  for (vector<Address> const* const l : {&parents_, &controls_})
    for (Address const& a : *l)
      if (!rests(a, now)) return false;
  return true;
}

void Sources::failed(Address const& a, TimePoint now) {
  Row& r = rows_[a];
  r.fails = std::min(r.fails + 1, 5);
  dice_ = dice_ * 6364136223846793005ull + 1442695040888963407ull;
  std::int64_t const span = base_.count() << (r.fails - 1);
  r.until = now + Ms(span + static_cast<std::int64_t>((dice_ >> 33) %
                                                      static_cast<std::uint64_t>(std::max<std::int64_t>(1, span / 2))));
}

vector<Address> Sources::controls(TimePoint now) const {
  vector<Address> v = controls_;
  std::stable_partition(v.begin(), v.end(), [&](Address const& a) { return !rests(a, now); });
  return v;
}

void UpdateCopy::versions(UpdateRequest& q) const {
  q.configurationVersion = publisher_.configurationVersion();
  q.common = gap_ ? 0 : publisher_.common.digest();
  q.zone = gap_ ? 0 : publisher_.zones[zone_].digest();
}

UpdateCopy::Verdict UpdateCopy::take(UpdateReply const& r, TimePoint sent,
                                     std::function<void(TableRow const&)> const& onCommon,
                                     std::function<void(TableRow const&)> const& onZone) {
  if (!r.healthy) return Verdict::unhealthy;
  if (r.depth >= deepest) return Verdict::deep;
  // The proof was true when the ask was answered, at the latest so long after it was sent as it was held.
  TimePoint const at = sent + Ms(r.heldMs) - Ms(r.ageMs);
  if (r.configurationVersion > publisher_.configurationVersion() && !r.configuration.empty())
    publisher_.setConfiguration(r.configurationVersion, r.configuration);
  bool const updates = !r.common.empty() || !r.zone.empty();
  if (updates && at + slack_ < fresh_) return Verdict::older;
  if (!r.common.empty()) {
    bool const ok = publisher_.common.apply(deserialize<TableDelta>(r.common), onCommon);
    if (!ok) {
      gap_ = true;
      return Verdict::gap;
    }
  }
  if (!r.zone.empty()) {
    bool const ok = publisher_.zones[zone_].apply(deserialize<TableDelta>(r.zone), onZone);
    if (!ok) {
      gap_ = true;
      return Verdict::gap;
    }
  }
  gap_ = false;
  fresh_ = std::max(fresh_, at);
  depth_ = r.depth + 1;
  return Verdict::taken;
}

}  // namespace tealshelf
