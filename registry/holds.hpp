#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The holds that one control node granted to stores; a hold counts while a majority granted it.
class HoldGrants {
 public:
  enum class Word { granted, fenced, unsound };
  HoldGrants(Ms span, Moment started) : span_(span), started_(started) {}
  /// A store asks for its hold to go on.
  Word beat(Identity store, std::uint64_t hold, bool sound, Moment now) {
    Row& r = rows_[store];
    r.hold = std::max(r.hold, hold);
    if (hold <= r.fenced) return Word::fenced;
    if (!sound) return Word::unsound;
    r.granted = now;
    return Word::granted;
  }
  /// True if no hold granted here can still count; the hold is never granted again then. A store
  /// whose hold may count is left alone.
  bool fence(Identity store, Moment now) {
    Row& r = rows_[store];
    if (now - r.granted <= span_ || now - started_ <= span_) return false;
    r.fenced = std::max(r.fenced, r.hold);
    return true;
  }

 private:
  struct Row {
    std::uint64_t hold = 0, fenced = 0;
    Moment granted;
  };
  Ms span_;
  Moment started_;
  std::map<Identity, Row> rows_;
};

}  // namespace tealshelf
