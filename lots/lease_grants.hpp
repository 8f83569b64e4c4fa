#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The leases that one control node granted to stores; a lease counts while a majority granted it.
class LeaseGrants {
 public:
  enum class Word { granted, fenced, unhealthy };
  LeaseGrants(Ms span, TimePoint started) : span_(span), started_(started) {}
  /// A store asks for its lease to go on.
  Word beat(NodeId store, std::uint64_t lease, bool healthy, TimePoint now) {
    Row& r = rows_[store];
    r.lease = std::max(r.lease, lease);
    if (lease <= r.fenced) return Word::fenced;
    if (!healthy) return Word::unhealthy;
    r.granted = now;
    return Word::granted;
  }
  /// The highest lease of a store that is never granted again here.
  std::uint64_t fencedUpTo(NodeId store) const {
    std::map<NodeId, Row>::const_iterator const row = rows_.find(store);
    return row == rows_.end() ? 0 : row->second.fenced;
  }
  /// True if no lease granted here can still count; the lease is never granted again then. A store
  /// whose lease may count is left alone.
  bool fence(NodeId store, TimePoint now) {
    Row& r = rows_[store];
    if (now - r.granted <= span_ || now - started_ <= span_) return false;
    r.fenced = std::max(r.fenced, r.lease);
    return true;
  }

 private:
  struct Row {
    std::uint64_t lease = 0, fenced = 0;
    TimePoint granted;
  };
  Ms span_;
  TimePoint started_;
  std::map<NodeId, Row> rows_;
};

}  // namespace tealshelf
